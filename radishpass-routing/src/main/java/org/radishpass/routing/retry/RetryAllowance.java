package org.radishpass.routing.retry;

/**
 * Limits how many retries all routers together may send to a service within a sliding window.
 *
 * @param ratio the retries allowed per caller request in the window
 * @param extra the fixed number of retries allowed in addition per window
 * @param windowMillis the length of the sliding window, in milliseconds
 * @since 0.2.0
 */
public record RetryAllowance(double ratio, double extra, long windowMillis) {
    /** The allowance of deployments that set none: 10 % of the requests plus 10 retries in 10 seconds. */
    public static final RetryAllowance DEFAULT = new RetryAllowance(0.1, 10, 10_000);
}
