package org.radishpass.core.lease;

import java.time.Duration;
import java.time.Instant;

/**
 * The times that make a lease safe.
 *
 * <p>A holder counts from before it sent the request, on its monotonic clock, and sends an order only if the order will
 * have expired before the lease has. Others wait out the deadline and the bound on how far clocks differ. So the orders
 * of two holders never overlap, whether or not the endpoint checks fencing numbers.
 *
 * @param term how long a lease runs from the moment it was asked for
 * @param orderLife how long an order may take to arrive
 * @param clockBound the most that two clocks differ
 * @since 0.1.0
 */
public record LeaseRules(Duration term, Duration orderLife, Duration clockBound) {
    /** The times used where nothing else is set. */
    public static final LeaseRules DEFAULT =
            new LeaseRules(Duration.ofSeconds(12), Duration.ofSeconds(3), Duration.ofSeconds(2));

    /** Checks that a holder has time to act at all. */
    public LeaseRules {
        if (term.compareTo(orderLife.multipliedBy(2)) <= 0) {
            throw new IllegalArgumentException("the term must be over twice the life of an order");
        }
    }

    /**
     * Tells whether another may take a lease.
     *
     * @param lease the lease
     * @param now the time by the other's clock
     */
    public boolean mayTake(Lease lease, Instant now) {
        return lease.vacant() || now.isAfter(lease.deadline().plus(clockBound));
    }

    /**
     * Returns the deadline to write into the store.
     *
     * @param now the time by the holder's clock, before the request is sent
     */
    public Instant deadlineFrom(Instant now) {
        return now.plus(term);
    }

    /**
     * Tells whether a holder may still send an order.
     *
     * @param askedAtNanos the monotonic time before the lease was last asked for
     * @param nowNanos the monotonic time now
     */
    public boolean mayOrder(long askedAtNanos, long nowNanos) {
        long elapsed = nowNanos - askedAtNanos;
        return elapsed >= 0 && elapsed < term.minus(orderLife).toNanos();
    }

    /**
     * Tells whether it is time to renew.
     *
     * @param askedAtNanos the monotonic time before the lease was last asked for
     * @param nowNanos the monotonic time now
     */
    public boolean dueForRenewal(long askedAtNanos, long nowNanos) {
        return nowNanos - askedAtNanos >= term.dividedBy(3).toNanos();
    }
}
