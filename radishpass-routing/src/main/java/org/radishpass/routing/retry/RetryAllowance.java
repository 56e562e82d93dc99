package org.radishpass.routing.retry;

/**
 * What all routers together may send again.
 *
 * @param ratio the fraction of the requests of a window
 * @param extra requests beyond the fraction
 * @param windowMillis the length of the sliding window, in milliseconds
 * @since 0.2.0
 */
public record RetryAllowance(double ratio, double extra, long windowMillis) {
    /** An allowance for deployments that name none: one in ten over ten seconds. */
    public static final RetryAllowance DEFAULT = new RetryAllowance(0.1, 10, 10_000);
}
