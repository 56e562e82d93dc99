package org.radishpass.load.internal.slope;

import java.util.List;

/**
 * The straight line through measurements by least squares.
 *
 * @param slope the growth for each unit of size
 * @param intercept the value at size 0
 * @param error the largest distance of a point from the line, as a share of the largest value
 * @since 0.1.0
 */
public record LinearFit(double slope, double intercept, double error) {
    /**
     * Fits a line.
     *
     * @param points at least two points of different sizes
     */
    public static LinearFit of(List<Series.Point> points) {
        double meanSize =
                points.stream().mapToDouble(Series.Point::size).average().orElse(0);
        double meanValue =
                points.stream().mapToDouble(Series.Point::value).average().orElse(0);
        double covariance = 0;
        double variance = 0;
        double largest = 0;
        for (Series.Point point : points) {
            covariance += (point.size() - meanSize) * (point.value() - meanValue);
            variance += (point.size() - meanSize) * (point.size() - meanSize);
            largest = Math.max(largest, Math.abs(point.value()));
        }
        double slope = variance == 0 ? 0 : covariance / variance;
        double intercept = meanValue - slope * meanSize;
        double worst = 0;
        for (Series.Point point : points) {
            worst = Math.max(worst, Math.abs(point.value() - (intercept + slope * point.size())));
        }
        return new LinearFit(slope, intercept, largest == 0 ? 0 : worst / largest);
    }

    /**
     * Returns the line's value.
     *
     * @param size the size
     */
    public double at(double size) {
        return intercept + slope * size;
    }
}
