package org.radishpass.core.lease;

import java.time.Duration;
import java.time.Instant;

/**
 * The durations that make a lease safe, and the rules that follow from them.
 *
 * <p>A holder measures the age of its lease on its monotonic clock, starting before it sends the request for the lease.
 * It sends an order only if the order expires before the lease does. Another process takes the lease only when the
 * deadline has passed by more than the maximum clock difference. So the orders of two holders never overlap, even if
 * the endpoint does not check fencing numbers.
 *
 * @param term the time for which a lease is valid, from the moment at which the holder requested it
 * @param orderLife the time after which an order expires, from the moment at which it was sent
 * @param clockBound the maximum difference between the clocks of two processes
 * @since 0.1.0
 */
public record LeaseRules(Duration term, Duration orderLife, Duration clockBound) {
    /** The default durations. */
    public static final LeaseRules DEFAULT =
            new LeaseRules(Duration.ofSeconds(12), Duration.ofSeconds(3), Duration.ofSeconds(2));

    /** Checks that the term leaves a holder time to send orders. */
    public LeaseRules {
        if (term.compareTo(orderLife.multipliedBy(2)) <= 0) {
            throw new IllegalArgumentException("the lease term must be more than twice the lifetime of an order");
        }
    }

    /**
     * Returns whether a process other than the holder may take a lease.
     *
     * @param lease the lease as recorded in the store
     * @param now the current time by the clock of the process that wants the lease
     */
    public boolean mayTake(Lease lease, Instant now) {
        return lease.vacant() || now.isAfter(lease.deadline().plus(clockBound));
    }

    /**
     * Returns the deadline to record in the store for a lease that is requested now.
     *
     * @param now the current time by the holder's clock, read before the request is sent
     */
    public Instant deadlineFrom(Instant now) {
        return now.plus(term);
    }

    /**
     * Returns whether a holder may still send an order.
     *
     * @param requestedAtNanos the monotonic time just before the holder last requested the lease, in nanoseconds
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public boolean maySendOrder(long requestedAtNanos, long nowNanos) {
        long elapsed = nowNanos - requestedAtNanos;
        return elapsed >= 0 && elapsed < term.minus(orderLife).toNanos();
    }

    /**
     * Returns whether a holder should renew its lease, which is the case after a third of the term.
     *
     * @param requestedAtNanos the monotonic time just before the holder last requested the lease, in nanoseconds
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public boolean dueForRenewal(long requestedAtNanos, long nowNanos) {
        return nowNanos - requestedAtNanos >= term.dividedBy(3).toNanos();
    }
}
