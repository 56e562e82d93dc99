package org.radishpass.core.lease;

import java.time.Instant;

/**
 * A lease as recorded in the platform's store.
 *
 * @param holder the id and incarnation of the holder; empty if the lease was released or never held
 * @param epoch the fencing number, which increases with each new holder
 * @param deadline the time at which the lease expires, by the holder's clock
 * @since 0.1.0
 */
public record Lease(String holder, long epoch, Instant deadline) {
    /** A lease that has never been held. */
    public static final Lease NONE = new Lease("", 0, Instant.EPOCH);

    /** Returns whether the lease has no holder, because it was released or never held. */
    public boolean vacant() {
        return holder.isEmpty();
    }
}
