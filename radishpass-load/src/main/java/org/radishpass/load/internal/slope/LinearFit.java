package org.radishpass.load.internal.slope;

import java.util.List;

/**
 * Straight line that fits measurements by least squares.
 *
 * @param slope the growth of the value per unit of size
 * @param intercept the value at size 0
 * @param maxRelativeError the largest vertical distance of a point from the line, divided by the largest absolute
 *     value
 * @since 0.1.0
 */
public record LinearFit(double slope, double intercept, double maxRelativeError) {
    /**
     * Fits a line to points.
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
        double maxAbsoluteValue = 0;
        for (Series.Point point : points) {
            covariance += (point.size() - meanSize) * (point.value() - meanValue);
            variance += (point.size() - meanSize) * (point.size() - meanSize);
            maxAbsoluteValue = Math.max(maxAbsoluteValue, Math.abs(point.value()));
        }
        double slope = variance == 0 ? 0 : covariance / variance;
        double intercept = meanValue - slope * meanSize;
        double maxDistance = 0;
        for (Series.Point point : points) {
            maxDistance = Math.max(maxDistance, Math.abs(point.value() - (intercept + slope * point.size())));
        }
        return new LinearFit(slope, intercept, maxAbsoluteValue == 0 ? 0 : maxDistance / maxAbsoluteValue);
    }

    /**
     * Returns the line's value at a size.
     *
     * @param size the size
     */
    public double valueAt(double size) {
        return intercept + slope * size;
    }
}
