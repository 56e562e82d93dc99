package org.radishpass.load.internal.slope;

import java.util.List;

/**
 * Measurements of one quantity at several sizes.
 *
 * @param name the quantity that was measured
 * @param unit the unit of the quantity
 * @param variable the name of the items that the size counts, such as endpoints
 * @param target the size for which the system is designed
 * @param points the measurements
 * @since 0.1.0
 */
public record Series(String name, String unit, String variable, double target, List<Point> points) {
    /** Returns the straight line through the points. */
    public LinearFit fit() {
        return LinearFit.of(points);
    }

    /**
     * A measurement at one size.
     *
     * @param size the size
     * @param value the measured value
     * @since 0.1.0
     */
    public record Point(double size, double value) {}
}
