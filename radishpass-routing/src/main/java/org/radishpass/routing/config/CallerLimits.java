package org.radishpass.routing.config;

/**
 * What a caller may send, and how long it may take.
 *
 * @param maxHeaderBytes the largest request head, in bytes
 * @param maxBodyBytes the largest request body, in bytes
 * @param headerTimeoutMillis the longest time that a request head may take to arrive, in milliseconds
 * @param idleTimeoutMillis the longest time that a connection may stay open without a request, in milliseconds
 * @since 0.2.0
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits before a configuration is known: those of common servers. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
}
