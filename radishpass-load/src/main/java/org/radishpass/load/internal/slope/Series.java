package org.radishpass.load.internal.slope;

import java.util.List;

/**
 * One quantity measured at several sizes.
 *
 * @param name what was measured
 * @param unit its unit
 * @param variable what the size counts
 * @param target the size that the project aims at
 * @param points the measurements
 * @since 0.1.0
 */
public record Series(String name, String unit, String variable, double target, List<Point> points) {
    /** Returns the straight line through the points. */
    public LinearFit fit() {
        return LinearFit.of(points);
    }

    /**
     * A measurement.
     *
     * @param size the size
     * @param value what was measured there
     * @since 0.1.0
     */
    public record Point(double size, double value) {}
}
