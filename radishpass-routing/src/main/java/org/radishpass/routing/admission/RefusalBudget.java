package org.radishpass.routing.admission;

/**
 * Bounds the refusals that are sent while other requests wait for their start. Callers that return at once, again and
 * again, would otherwise take all the time in which requests are served. It makes no difference whose refusal it is:
 * refusals get as much time as starts. Two cases differ:
 *
 * <ul>
 *   <li>The requests that waited when a backlog began, as after a restart, are limited in number. Their callers are
 *       answered in most of the time, since others can serve them as soon as they are told.
 *   <li>A refusal that delays a more urgent request, so that this may miss its latency target, needs credit, which starts earn.
 * </ul>
 *
 * <p>Not thread-safe.
 *
 * @since 0.13.0
 */
public final class RefusalBudget {
    /**
     * The refusals for each started request that may delay more urgent requests. All callers are answered as long as
     * the arrivals are below 3.4 times the starts.
     */
    private static final double CREDIT_PER_START = 2.4;

    /** The maximum number of refusals that are saved for later iterations. */
    private static final double MAX_CREDIT = 10;

    /** The refusals for each request of an initial backlog: one, and those of its caller's returns meanwhile. */
    private static final int REFUSALS_PER_BACKLOG_REQUEST = 3;

    /** The time of refusals relative to that of starts until the callers of an initial backlog have been answered. */
    private static final int BACKLOG_TIME_RATIO = 3;

    /** The maximum time in milliseconds that is saved for later iterations. */
    private static final long MAX_SAVED_MILLIS = 20;

    private double credit;
    private int backlogRefusals;
    private long leftMillis;

    /** Records that a backlog has begun. Callers of an earlier one may still return, so its refusals stay allowed. */
    public void backlogBegan(int waiting) {
        backlogRefusals = Math.max(backlogRefusals, waiting * REFUSALS_PER_BACKLOG_REQUEST);
    }

    /**
     * Records an iteration of the event loop after which requests still wait.
     *
     * @param started the number of requests that were started
     * @param startsMillis the time that the starts took, in milliseconds
     */
    public void recordStarts(int started, long startsMillis) {
        credit = Math.min(MAX_CREDIT, credit + CREDIT_PER_START * started);
        long grantedMillis = backlogRefusals > 0 ? BACKLOG_TIME_RATIO * startsMillis : startsMillis;
        leftMillis = Math.min(Math.max(MAX_SAVED_MILLIS, grantedMillis), leftMillis + grantedMillis);
    }

    /**
     * Tells whether a refusal may be sent in this iteration.
     *
     * @param delaysUrgent whether a more urgent request waits that can still meet its latency target
     */
    public boolean allows(boolean delaysUrgent) {
        return leftMillis > 0 && (backlogRefusals > 0 || !delaysUrgent || credit >= 1);
    }

    /**
     * Records that a refusal was sent.
     *
     * @param delaysUrgent whether a more urgent request waits that can still meet its latency target
     * @param millis the time that the refusal took, in milliseconds
     */
    public void recordRefusal(boolean delaysUrgent, long millis) {
        leftMillis -= millis;
        if (backlogRefusals > 0) {
            backlogRefusals--;
        } else if (delaysUrgent) {
            credit--;
        }
    }
}
