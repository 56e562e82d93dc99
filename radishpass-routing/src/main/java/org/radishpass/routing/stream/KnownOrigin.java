package org.radishpass.routing.stream;

import org.radishpass.core.placement.Rendezvous;

/**
 * The origin of one stream, as long as the stream can be taken up.
 *
 * @param stream the hash of the stream's workspace and of the id of the attempt that began it, see {@link #hash}
 * @param origin what began the stream
 * @param expiresAtMillis when the stream can no longer be taken up, on the monotonic clock in milliseconds
 * @since 0.10.0
 */
public record KnownOrigin(long stream, StreamOrigin origin, long expiresAtMillis) {
    /** Time that a caller's last attempt may begin after the deadline of its first one, in milliseconds. */
    private static final long GRACE_MILLIS = 5_000;

    private static final char SEPARATOR = '\n';

    /**
     * Returns what identifies a stream between routers. It contains the workspace, so that the id of an attempt tells
     * nothing to another workspace.
     *
     * @param workspace the name of the caller's workspace; empty for none
     * @param requestId the id of the attempt that brought the first event
     */
    public static long hash(String workspace, String requestId) {
        return Rendezvous.hash(workspace + SEPARATOR + requestId);
    }

    /**
     * Returns the longest time for which a stream can be taken up, in milliseconds. Twice the timeout, since a configuration
     * may have shortened it meanwhile.
     *
     * @param timeoutMillis the timeout of the route, in milliseconds
     */
    public static long lifetimeMillis(long timeoutMillis) {
        return 2 * timeoutMillis + GRACE_MILLIS;
    }

    /** Returns the origin of a stream that has begun now. */
    public static KnownOrigin begun(long stream, StreamOrigin origin, long deadlineMillis) {
        return new KnownOrigin(stream, origin, deadlineMillis + GRACE_MILLIS);
    }

    /** Returns this origin with its time on another clock. */
    public KnownOrigin expiringAt(long millis) {
        return new KnownOrigin(stream, origin, millis);
    }

    /** Tells whether the stream can no longer be taken up. */
    public boolean expired(long nowMillis) {
        return nowMillis >= expiresAtMillis;
    }
}
