package org.radishpass.routing.health;

import org.radishpass.peer.message.WorkScope;

/**
 * The health of one incarnation of an endpoint, as observed by this router and reported by peers. Confined to the
 * traffic thread.
 *
 * <p>An endpoint is <em>down</em> while connections to it fail, which proves that no request runs there. The router
 * retries the connection in the background after a delay that doubles each time. An endpoint is <em>failing</em> while
 * too many of its responses are errors, break off or begin far later than those of other endpoints. A failing endpoint
 * is ejected for a while if enough other endpoints remain.
 *
 * @since 0.2.0
 */
public final class EndpointHealth {
    /**
     * The delay before the first retry of a connection, in milliseconds: about the time in which a process restarts.
     */
    private static final long INITIAL_RETRY_DELAY_MILLIS = 250;

    /** The maximum delay between retries, in milliseconds: a recovered endpoint is in use again within this time. */
    private static final long MAX_RETRY_DELAY_MILLIS = 1_000;

    /** The weight of the newest outcome in the moving average of errors: about the last six outcomes count. */
    private static final double NEWEST_OUTCOME_WEIGHT = 0.16;

    /** The error rate at which an endpoint is ejected; the worst healthy service fails one request in seven. */
    private static final double EJECTION_ERROR_RATE = 0.38;

    /** The time for which a failing endpoint is ejected, in milliseconds. */
    private static final long EJECTION_MILLIS = 2_500;

    /** The error rate assumed after an ejection: one more error ejects the endpoint again at once. */
    private static final double ERROR_RATE_AFTER_EJECTION = 0.3;

    /** The number of consecutive slow responses at which an endpoint is ejected; see {@link ResponseTimes}. */
    private static final int EJECTION_SLOW_RESPONSES = 3;

    /**
     * The minimum age, in ms, of the last received bytes after a connection broke: older than any limit on that age.
     */
    private static final long DISCONNECTED_AGE_MILLIS = 10_000;

    static final long NEVER = Long.MIN_VALUE / 2;

    private final ImpairedEndpoints impairedEndpoints;
    private double errorRate;
    private int consecutiveSlowResponses;
    private long failingLocallyUntilMillis = Long.MIN_VALUE;
    private long reportedFailingUntilMillis = Long.MIN_VALUE;
    private long memberReportedFailingUntilMillis = Long.MIN_VALUE;
    private boolean down;
    private boolean probeInProgress;
    private boolean possiblyUnreachable;
    private long probeAtMillis;
    private long retryDelayMillis = INITIAL_RETRY_DELAY_MILLIS;
    private long bytesReceivedAtMillis;
    private long unreachableAtMillis = NEVER;
    private final EndpointLink link;

    /**
     * Creates the health of an endpoint without any observation so far.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public EndpointHealth(long nowMillis) {
        this(nowMillis, new ImpairedEndpoints());
    }

    /**
     * Creates the health of an endpoint without any observation so far.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @param impairedEndpoints the set to which this object adds itself whenever it may have become impaired
     */
    EndpointHealth(long nowMillis, ImpairedEndpoints impairedEndpoints) {
        this.bytesReceivedAtMillis = nowMillis;
        this.link = new EndpointLink(nowMillis);
        this.impairedEndpoints = impairedEndpoints;
    }

    /** Tells whether the endpoint is down, possibly unreachable or failing. */
    boolean impaired(long nowMillis) {
        return down || possiblyUnreachable || failing(nowMillis);
    }

    /** Records that a connection to the endpoint was established. */
    public void connected(long nowMillis) {
        if (down) {
            forgetErrors();
        }
        down = false;
        possiblyUnreachable = false;
        probeInProgress = false;
        retryDelayMillis = INITIAL_RETRY_DELAY_MILLIS;
        bytesReceivedAtMillis = nowMillis;
        link.observe(LinkEvidence.CONNECTED, nowMillis);
    }

    /** Discards the errors before a connection failed: the lost link, or an exited process, may have caused them. */
    private void forgetErrors() {
        errorRate = 0;
        consecutiveSlowResponses = 0;
        failingLocallyUntilMillis = Long.MIN_VALUE;
    }

    /**
     * Records that a connection to the endpoint failed, or that the endpoint was silent for so long that it counts as
     * unreachable.
     *
     * @return whether the endpoint counted as reachable until now
     */
    public boolean unreachable(long nowMillis) {
        return unreachable(LinkEvidence.NO_ANSWER, nowMillis);
    }

    /**
     * Records that a connection to the endpoint failed.
     *
     * @param evidence how the connection failed
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @return whether the endpoint counted as reachable until now
     * @since 0.9.0
     */
    public boolean unreachable(LinkEvidence evidence, long nowMillis) {
        link.observe(evidence, nowMillis);
        boolean wasUp = !down;
        unreachableAtMillis = nowMillis;
        down = true;
        impairedEndpoints.unreachable(this, nowMillis);
        possiblyUnreachable = false;
        probeInProgress = false;
        probeAtMillis = nowMillis + retryDelayMillis;
        retryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, retryDelayMillis * 2);
        return wasUp;
    }

    /**
     * Returns when a connection last failed, on the monotonic clock in milliseconds; a time long ago if none failed.
     */
    public long unreachableAtMillis() {
        return unreachableAtMillis;
    }

    /** Returns whether this router reaches the endpoint, and by which evidence. */
    public EndpointLink link() {
        return link;
    }

    /** Records that bytes arrived from the endpoint. */
    public void bytesReceived(long nowMillis) {
        bytesReceivedAtMillis = nowMillis;
        if (!down) {
            link.observe(LinkEvidence.RECEIVED, nowMillis);
        }
        possiblyUnreachable = false;
    }

    /** Records that a connection broke: until bytes arrive again, the endpoint must not count as recently active. */
    public void disconnected(long nowMillis) {
        bytesReceivedAtMillis = Math.min(bytesReceivedAtMillis, nowMillis - DISCONNECTED_AGE_MILLIS);
    }

    /** Marks the endpoint as possibly unreachable, because others are, while its connection is being checked. */
    public void markPossiblyUnreachable() {
        possiblyUnreachable = true;
        impairedEndpoints.add(this);
    }

    /** Tells whether the endpoint is possibly unreachable and its connection is being checked. */
    public boolean possiblyUnreachable() {
        return possiblyUnreachable;
    }

    /** Returns when bytes last arrived from the endpoint, on the monotonic clock in milliseconds. */
    public long bytesReceivedAtMillis() {
        return bytesReceivedAtMillis;
    }

    /** Records a complete response that was not an error. */
    public void succeeded() {
        errorRate -= NEWEST_OUTCOME_WEIGHT * errorRate;
    }

    /**
     * Records a response that was an error or broke off.
     *
     * @return whether the endpoint starts to count as failing
     */
    public boolean failed(long nowMillis) {
        errorRate += NEWEST_OUTCOME_WEIGHT * (1 - errorRate);
        if (errorRate < EJECTION_ERROR_RATE || ejected(nowMillis)) {
            return false;
        }
        failingLocallyUntilMillis = nowMillis + EJECTION_MILLIS;
        impairedEndpoints.add(this);
        errorRate = ERROR_RATE_AFTER_EJECTION;
        return true;
    }

    /** Records a response that began in time. */
    public void respondedInTime() {
        consecutiveSlowResponses = 0;
    }

    /**
     * Records a response that took, or still takes, too long to begin. An endpoint that was ejected for slow responses
     * is used again after a while; one more slow response then ejects it at once.
     *
     * @return whether the endpoint starts to count as slow
     */
    public boolean respondedSlowly(long nowMillis) {
        consecutiveSlowResponses++;
        if (consecutiveSlowResponses < EJECTION_SLOW_RESPONSES || ejected(nowMillis)) {
            return false;
        }
        failingLocallyUntilMillis = nowMillis + EJECTION_MILLIS;
        impairedEndpoints.add(this);
        consecutiveSlowResponses = EJECTION_SLOW_RESPONSES - 1;
        return true;
    }

    /**
     * Records a peer's report that the endpoint is failing.
     *
     * @param scope the routers on whose behalf the peer reports
     * @param untilMillis the end of the report's validity, on the monotonic clock in milliseconds
     */
    public void recordReportedFailing(WorkScope scope, long untilMillis) {
        reportedFailingUntilMillis = Math.max(reportedFailingUntilMillis, untilMillis);
        impairedEndpoints.add(this);
        if (!scope.sentByGatherer()) {
            memberReportedFailingUntilMillis = Math.max(memberReportedFailingUntilMillis, untilMillis);
        }
    }

    /**
     * Tells whether the endpoint is failing according to the errors and slow responses that this router itself has
     * seen. Errors of an endpoint that this router does not reach say nothing about the endpoint.
     */
    public boolean failingLocally(long nowMillis) {
        return !down && !possiblyUnreachable && ejected(nowMillis);
    }

    private boolean ejected(long nowMillis) {
        return nowMillis < failingLocallyUntilMillis;
    }

    /** Tells whether the endpoint is failing according to this router or to a member of its group. */
    public boolean failingInGroup(long nowMillis) {
        return failingLocally(nowMillis) || nowMillis < memberReportedFailingUntilMillis;
    }

    /** Tells whether connections to the endpoint fail. */
    public boolean down() {
        return down;
    }

    /** Tells whether the endpoint is failing according to this router or to any report of a peer. */
    public boolean failing(long nowMillis) {
        return failingLocally(nowMillis) || nowMillis < reportedFailingUntilMillis;
    }

    /**
     * Tells whether a connection is to be tried in the background now. If so, the attempt counts as begun.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public boolean tryBeginProbe(long nowMillis) {
        if (!down || probeInProgress || nowMillis < probeAtMillis) {
            return false;
        }
        probeInProgress = true;
        return true;
    }
}
