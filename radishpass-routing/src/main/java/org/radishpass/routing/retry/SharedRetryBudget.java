package org.radishpass.routing.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the retries that this router sends to each service to its part of the fleet's retry budget. Confined to the traffic
 * thread.
 *
 * <p>In each window, the fleet may send retries for a fraction of the requests, plus a fixed number. A process may send:
 *
 * <ul>
 *   <li>most of the fraction for each request that it has itself counted in the window,
 *   <li>the rest of the fraction for each request that it has itself counted in the window before, and
 *   <li>a share of the fixed number, which accrues with time.
 * </ul>
 *
 * <p>Each request is counted by one process, and a process starts with nothing. So the sum over all processes is within
 * the budget even if the processes that have sent retries in a window no longer exist, and no process has to know what
 * others have sent. The fixed number is divided by the largest number of routers that was known recently; until that
 * number is known, nothing of it is used.
 *
 * @since 0.2.0
 */
public final class SharedRetryBudget {
    /** The part of the fraction that requests of the window before allow. It limits how many retries can be sent at once. */
    private static final double SAVED_FRACTION = 0.2;

    /** The largest such part, where {@link #SAVED_FRACTION} of the few requests of a router is less than one retry. */
    private static final double MAX_SAVED_FRACTION = 0.5;

    /** The part of the fixed number that accrues in the course of a window. */
    private static final double ACCRUING_FRACTION = 0.65;

    /** The part of the fixed number that can be used at once. What then remains covers retries that arrive late. */
    private static final double AT_ONCE_FRACTION = 0.2;

    /**
     * Milliseconds from when the other routers are known until the fixed number is used. Routers that start together learn
     * of each other in this time.
     */
    private static final long SETTLING_MILLIS = 3_000;

    private static final long NEVER = Long.MAX_VALUE;

    private final long startedAtMillis;
    private final Map<String, RetryAccount> accounts = new HashMap<>();
    private RetryAllowance allowance;
    private int routers;
    private long sharedFromMillis = NEVER;

    /**
     * Creates the budget of a process that has just started.
     *
     * @param allowance the retries that the fleet may send
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public SharedRetryBudget(RetryAllowance allowance, long nowMillis) {
        this.allowance = allowance;
        this.startedAtMillis = nowMillis;
    }

    /**
     * Replaces the allowance. If the length of the window changes, the process starts again with nothing.
     *
     * @param newAllowance the retries that the fleet may send
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void allowance(RetryAllowance newAllowance, long nowMillis) {
        if (newAllowance.windowMillis() != allowance.windowMillis()) {
            accounts.clear();
            sharedFromMillis = routers > 0 ? nowMillis + SETTLING_MILLIS : NEVER;
        }
        this.allowance = newAllowance;
    }

    /**
     * Sets the number of routers by which the fixed number is divided.
     *
     * @param known the number of routers, including this router; too large rather than too small; 0 if unknown
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void routers(int known, long nowMillis) {
        if (known <= 0) {
            sharedFromMillis = NEVER;
        } else if (routers <= 0) {
            sharedFromMillis = nowMillis + SETTLING_MILLIS;
        }
        this.routers = Math.max(0, known);
    }

    /**
     * Counts a request from a caller.
     *
     * @param service the service that handles the request
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void requested(String service, long nowMillis) {
        account(service, nowMillis).requested(nowMillis);
    }

    /**
     * Takes one retry out of the budget if the budget allows a retry now.
     *
     * @param service the service to which the request would be sent again
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @return whether the retry is allowed
     */
    public RetryDecision trySpend(String service, long nowMillis) {
        RetryAccount account = account(service, nowMillis);
        RetryAccount.Window window = account.tightest(
                (before, since, beginMillis) -> earned(before, since) + fixedShare(beginMillis, nowMillis), nowMillis);
        boolean granted = window.room() >= 1;
        if (granted) {
            account.retried(nowMillis);
        }
        long ageMillis = nowMillis - startedAtMillis;
        return new RetryDecision(
                granted, window.spent(), window.limit(), routers, ageMillis, ageMillis < allowance.windowMillis());
    }

    private double earned(int requestsBefore, int requestsSince) {
        double fractionBefore = allowance.ratio() * requestsBefore;
        double fractionSince = allowance.ratio() * requestsSince;
        double usual = SAVED_FRACTION * fractionBefore + (1 - SAVED_FRACTION) * fractionSince;
        double savedForOneRetry = 1 / fractionBefore;
        boolean fewRequests = savedForOneRetry > SAVED_FRACTION && savedForOneRetry <= MAX_SAVED_FRACTION;
        return fewRequests ? Math.max(usual, 1 + (1 - savedForOneRetry) * fractionSince) : usual;
    }

    private double fixedShare(long windowBeginMillis, long nowMillis) {
        if (nowMillis < sharedFromMillis) {
            return 0;
        }
        long accruedMillis = nowMillis - Math.max(windowBeginMillis, sharedFromMillis);
        double accrued = ACCRUING_FRACTION * Math.min(1, (double) accruedMillis / allowance.windowMillis());
        double atOnce = windowBeginMillis >= sharedFromMillis ? AT_ONCE_FRACTION : 0;
        return allowance.extra() * (accrued + atOnce) / routers;
    }

    private RetryAccount account(String service, long nowMillis) {
        return accounts.computeIfAbsent(service, name -> new RetryAccount(allowance.windowMillis(), nowMillis));
    }
}
