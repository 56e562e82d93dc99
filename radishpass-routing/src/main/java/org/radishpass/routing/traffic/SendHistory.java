package org.radishpass.routing.traffic;

import java.util.ArrayList;
import java.util.List;
import org.radishpass.core.outcome.Verdict;
import org.radishpass.routing.fleet.ServiceEndpoint;

/** Where one request was sent, and what may be said of whether it has run. */
final class SendHistory {
    /** Endpoints that may reject a request, and one more, until it is refused: by then most of the service is short of room. */
    private static final int MOST_REJECTIONS = 3;

    private final List<String> triedEndpoints = new ArrayList<>();
    private Verdict verdict = Verdict.NOT_RUN;
    private Verdict verdictBeforeLast = Verdict.NOT_RUN;
    private int sends;
    private int rejections;
    private long sentAtMillis;

    /** Notes that the request is sent now: from here on it may run. */
    void sent(long nowMillis) {
        sends++;
        sentAtMillis = nowMillis;
        verdictBeforeLast = verdict;
        verdict = verdict.and(Verdict.MAY_HAVE_RUN);
    }

    /** The endpoint that it was sent to last has proved that it did not run it. */
    void lastNotRun() {
        verdict = verdictBeforeLast;
        rejections++;
    }

    /** Notes an endpoint that it is not to be given to again. */
    void tried(ServiceEndpoint endpoint) {
        triedEndpoints.add(endpoint.id());
    }

    /** Returns the endpoints that it is not to be given to again. */
    List<String> triedEndpoints() {
        return triedEndpoints;
    }

    /** Returns what may be said of whether it has run. */
    Verdict verdict() {
        return verdict;
    }

    /** Tells whether no endpoint can have run it. */
    boolean notRun() {
        return verdict == Verdict.NOT_RUN;
    }

    /**
     * Tells whether it may be sent once more. An endpoint that has proved that it did not run the request does not count against the
     * attempts of its route, but no request is offered to more than a few of them.
     *
     * @param maxAttempts the endpoints that may run it
     */
    boolean maySendAgain(int maxAttempts) {
        return sends - rejections < maxAttempts && rejections <= MOST_REJECTIONS;
    }

    /** Returns how often it was sent. */
    int sends() {
        return sends;
    }

    /** Returns how long ago it was sent last, in milliseconds. */
    long sentMillisAgo(long nowMillis) {
        return nowMillis - sentAtMillis;
    }
}
