package org.radishpass.routing.health;

import org.radishpass.peer.message.WorkScope;

/**
 * What this router has seen of one start of an endpoint. Belongs to the traffic thread.
 *
 * <p>An endpoint is <em>down</em> while connections to it fail, which proves that nothing sent to it runs; it is tried
 * again in the background after a pause that doubles. It is <em>failing</em> while too many of its answers are errors, break
 * off or take far longer to begin than those of others; it is then left out for a while if enough others remain.
 *
 * @since 0.2.0
 */
public final class EndpointHealth {
    /** Milliseconds until a connection is tried again after the first failure: about one restart of a process. */
    private static final long FIRST_PAUSE_MILLIS = 250;

    /** The longest such pause in milliseconds: an endpoint that is back is in use again within it. */
    private static final long LONGEST_PAUSE_MILLIS = 1_000;

    /** The weight of the newest outcome in the mean error rate: about the last six outcomes count. */
    private static final double NEWEST = 0.16;

    /** The error rate from which an endpoint is left out; the worst sound service fails one request in seven. */
    private static final double FAILING_RATE = 0.38;

    /** Milliseconds for which a failing endpoint is left out. */
    private static final long EJECTION_MILLIS = 2_500;

    /** The error rate with which it is tried again: one more error ejects it at once. */
    private static final double RATE_ON_TRIAL = 0.3;

    /** Answers in a row that took too long to begin, from which an endpoint is left out; see {@link AnswerPatience}. */
    private static final int SLOW_IN_A_ROW = 3;

    /** Milliseconds by which the last sign of life is set back when a connection breaks: beyond any use of it. */
    private static final long FORGOTTEN_MILLIS = 10_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private double errorRate;
    private int slowInRow;
    private long failingUntilMillis = Long.MIN_VALUE;
    private long saidToFailUntilMillis = Long.MIN_VALUE;
    private long memberSaidUntilMillis = Long.MIN_VALUE;
    private boolean down;
    private boolean probing;
    private boolean doubted;
    private long probeAtMillis;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private long heardAtMillis;
    private long unreachableAtMillis = NEVER;

    /**
     * Creates the health of an endpoint that nothing is known of.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public EndpointHealth(long nowMillis) {
        this.heardAtMillis = nowMillis;
    }

    /** Notes a connection that was made. */
    public void connected(long nowMillis) {
        down = false;
        doubted = false;
        probing = false;
        pauseMillis = FIRST_PAUSE_MILLIS;
        heardAtMillis = nowMillis;
    }

    /**
     * Notes a connection that could not be made, or silence that amounts to the same.
     *
     * @return whether the endpoint was taken to be up until now
     */
    public boolean unreachable(long nowMillis) {
        boolean news = !down;
        unreachableAtMillis = nowMillis;
        down = true;
        doubted = false;
        probing = false;
        probeAtMillis = nowMillis + pauseMillis;
        pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, pauseMillis * 2);
        return news;
    }

    /** Returns when a connection to it failed last, on the monotonic clock in milliseconds; long ago if none did. */
    public long unreachableAtMillis() {
        return unreachableAtMillis;
    }

    /** Notes any bytes that came from it. */
    public void heard(long nowMillis) {
        heardAtMillis = nowMillis;
        doubted = false;
    }

    /** Notes that a connection to it broke: until it is heard of again, nobody may take it to be reachable. */
    public void broke(long nowMillis) {
        heardAtMillis = Math.min(heardAtMillis, nowMillis - FORGOTTEN_MILLIS);
    }

    /** Notes that it may be cut off, as others are, and that this is being found out. */
    public void doubt() {
        doubted = true;
    }

    /** Tells whether it is being found out if it can be reached. */
    public boolean doubted() {
        return doubted;
    }

    /** Returns when bytes came from it last, on the monotonic clock in milliseconds. */
    public long heardAtMillis() {
        return heardAtMillis;
    }

    /** Notes an answer that was no error. */
    public void succeeded() {
        errorRate -= NEWEST * errorRate;
    }

    /**
     * Notes an error or a broken answer.
     *
     * @return whether it is taken to be failing from now on, and was not before
     */
    public boolean failed(long nowMillis) {
        errorRate += NEWEST * (1 - errorRate);
        if (errorRate < FAILING_RATE || seenFailing(nowMillis)) {
            return false;
        }
        failingUntilMillis = nowMillis + EJECTION_MILLIS;
        errorRate = RATE_ON_TRIAL;
        return true;
    }

    /** Notes an answer that began in time. */
    public void answeredInTime() {
        slowInRow = 0;
    }

    /**
     * Notes an answer that took, or still takes, too long to begin. After a while an endpoint that was left out for this is
     * tried again; one more slow answer leaves it out at once.
     *
     * @return whether it is taken to be slow from now on, and was not before
     */
    public boolean answeredSlowly(long nowMillis) {
        slowInRow++;
        if (slowInRow < SLOW_IN_A_ROW || seenFailing(nowMillis)) {
            return false;
        }
        failingUntilMillis = nowMillis + EJECTION_MILLIS;
        slowInRow = SLOW_IN_A_ROW - 1;
        return true;
    }

    /**
     * Takes a peer's word that too many of its answers are errors.
     *
     * @param scope for whom the peer speaks
     * @param untilMillis until when to leave it out, on the monotonic clock in milliseconds
     */
    public void saidToFail(WorkScope scope, long untilMillis) {
        saidToFailUntilMillis = Math.max(saidToFailUntilMillis, untilMillis);
        if (!scope.leads()) {
            memberSaidUntilMillis = Math.max(memberSaidUntilMillis, untilMillis);
        }
    }

    /** Tells whether this router itself has seen too many errors or slow answers. */
    public boolean seenFailing(long nowMillis) {
        return nowMillis < failingUntilMillis;
    }

    /** Tells whether this router, or a member of its group, has seen too many errors. */
    public boolean failingInGroup(long nowMillis) {
        return seenFailing(nowMillis) || nowMillis < memberSaidUntilMillis;
    }

    /** Tells whether connections to it fail. */
    public boolean down() {
        return down;
    }

    /** Tells whether too many of its answers were errors. */
    public boolean failing(long nowMillis) {
        return seenFailing(nowMillis) || nowMillis < saidToFailUntilMillis;
    }

    /**
     * Tells whether a connection is to be tried in the background now; it is then taken to be on its way.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public boolean takeProbe(long nowMillis) {
        if (!down || probing || nowMillis < probeAtMillis) {
            return false;
        }
        probing = true;
        return true;
    }
}
