package org.radishpass.routing.config;

/**
 * Limits on the size of a caller's requests and on the time that a caller's connection may take or stay idle.
 *
 * @param maxHeaderBytes the maximum size of a request head, in bytes
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param headerTimeoutMillis the maximum time until a request head has arrived completely, in milliseconds
 * @param idleTimeoutMillis the maximum time that a connection may stay open without a request, in milliseconds
 * @since 0.2.0
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** The limits that apply until a configuration has been read. The values are those of common HTTP servers. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
}
