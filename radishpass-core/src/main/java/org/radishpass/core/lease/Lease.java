package org.radishpass.core.lease;

import java.time.Instant;

/**
 * A lease as the store holds it.
 *
 * @param holder who holds it, with its incarnation; empty when it was given back
 * @param epoch the fencing number, which grows with each new holder
 * @param deadline until when it is held, by the holder's clock
 * @since 0.1.0
 */
public record Lease(String holder, long epoch, Instant deadline) {
    /** A lease that nobody has held yet. */
    public static final Lease NONE = new Lease("", 0, Instant.EPOCH);

    /** Tells whether it was given back or never held. */
    public boolean vacant() {
        return holder.isEmpty();
    }
}
