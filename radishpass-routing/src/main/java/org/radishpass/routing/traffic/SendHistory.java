package org.radishpass.routing.traffic;

import java.util.ArrayList;
import java.util.List;
import org.radishpass.core.outcome.Verdict;
import org.radishpass.routing.fleet.ServiceEndpoint;

/** The endpoints that one request was sent to, and whether the request may have run. */
final class SendHistory {
    /**
     * Maximum number of rejections after which the request is still sent once more. By then most endpoints of the
     * service have no capacity.
     */
    private static final int MAX_REJECTIONS = 3;

    private final List<String> triedEndpoints = new ArrayList<>();
    private Verdict verdict = Verdict.NOT_RUN;
    private Verdict verdictBeforeLast = Verdict.NOT_RUN;
    private int sends;
    private int rejections;
    private int rejectionsBehindRelays;
    private int relaysNotRun;
    private int attemptsOfOthers;
    private long lastSentAtMillis;

    /** Records that the request is being sent. From here on the endpoint may run the request. */
    void sent(long nowMillis) {
        sends++;
        lastSentAtMillis = nowMillis;
        verdictBeforeLast = verdict;
        verdict = verdict.combinedWith(Verdict.MAY_HAVE_RUN);
    }

    /** Records that the last endpoint has proved that it did not run the request. */
    void lastSendNotRun() {
        verdict = verdictBeforeLast;
        rejections++;
    }

    /**
     * Records that another router, to which the request was sent last, has proved that it was not run.
     *
     * @param endpointSends how many times that router has sent the request to an endpoint, which rejected it
     */
    void relayNotRun(int endpointSends) {
        verdict = verdictBeforeLast;
        relaysNotRun++;
        rejectionsBehindRelays += endpointSends;
    }

    /** Records an endpoint that the request must not be sent to again. */
    void tried(ServiceEndpoint endpoint) {
        triedEndpoints.add(endpoint.id());
    }

    /** Returns the ids of the endpoints that the request must not be sent to again. */
    List<String> triedEndpoints() {
        return triedEndpoints;
    }

    /** Returns whether the request may have run. */
    Verdict verdict() {
        return verdict;
    }

    /** Tells whether the request has certainly not run. */
    boolean notRun() {
        return verdict == Verdict.NOT_RUN;
    }

    /**
     * Tells whether the request may be sent again. A send that the endpoint provably did not run does not count
     * against the attempts of the route, but the number of such rejections is limited.
     *
     * @param maxAttempts the maximum number of endpoints that may run the request
     */
    boolean maySendAgain(int maxAttempts) {
        return attemptsUsed() < maxAttempts && rejections + rejectionsBehindRelays <= MAX_REJECTIONS;
    }

    /** Returns how many endpoints may have run the request, as far as is known. */
    int attemptsUsed() {
        return sends - rejections - relaysNotRun + attemptsOfOthers;
    }

    /**
     * Records that another router, to which the request was sent last, has sent it to endpoints.
     *
     * @param attempts the number of endpoints that may have run it
     */
    void sentByOther(int attempts) {
        attemptsOfOthers += attempts - 1; // sending the request to the router counts as one
    }

    /** Returns how many times the request was sent. */
    int sends() {
        return sends;
    }

    /** Returns the time since the request was last sent, in milliseconds. */
    long millisSinceLastSend(long nowMillis) {
        return nowMillis - lastSentAtMillis;
    }
}
