package org.radishpass.routing.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.outcome.Verdict;
import org.radishpass.routing.dialect.AnswerHead;
import org.radishpass.routing.fleet.DirectoryOrigin;
import org.radishpass.routing.placement.PlacementChoice;
import org.radishpass.routing.quarantine.RequestFingerprint;

/** The account of one request, for the log: what was decided, on what inputs of which age, and what came of it. */
final class ExchangeRecord {
    private static final int FIRST_ERROR_STATUS = 400;

    private final long receivedAtMillis;
    private final List<Step> steps = new ArrayList<>(1);
    private String requestId = "";
    private RequestFingerprint fingerprint = RequestFingerprint.UNKNOWN;
    private long configurationVersion;
    private long configurationAgeMillis;
    private Terms terms = Terms.UNKNOWN;
    private Verdict verdict = Verdict.NOT_RUN;
    private int status;
    private long beganAfterMillis = -1;
    private String outcome = "";

    ExchangeRecord(long receivedAtMillis) {
        this.receivedAtMillis = receivedAtMillis;
    }

    long receivedAtMillis() {
        return receivedAtMillis;
    }

    String requestId() {
        return requestId;
    }

    long configurationVersion() {
        return configurationVersion;
    }

    /** Returns how long that configuration had been in force here, in milliseconds. */
    long configurationAgeMillis() {
        return configurationAgeMillis;
    }

    Terms terms() {
        return terms;
    }

    Verdict verdict() {
        return verdict;
    }

    int status() {
        return status;
    }

    String outcome() {
        return outcome;
    }

    /** Returns when the answer began, in milliseconds after the request came in; -1 if it did not. */
    long beganAfterMillis() {
        return beganAfterMillis;
    }

    List<Step> steps() {
        return steps;
    }

    void request(String id, long version, long inForceSinceMillis) {
        this.requestId = id;
        this.configurationVersion = version;
        this.configurationAgeMillis = receivedAtMillis - inForceSinceMillis;
    }

    void terms(Terms newTerms, RequestFingerprint newFingerprint) {
        this.terms = newTerms;
        this.fingerprint = newFingerprint;
    }

    RequestFingerprint fingerprint() {
        return fingerprint;
    }

    void chosen(PlacementChoice choice, RoutingView view, long nowMillis) {
        steps.add(new Step(choice, view.origin(), receivedAtMillis, nowMillis));
    }

    /**
     * Notes that it was sent.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @param stated what the endpoint had stated against it; empty if nothing
     */
    void sent(long nowMillis, String stated) {
        last().sentAfterMillis = nowMillis - receivedAtMillis;
        last().stated = stated;
    }

    void headCame(long nowMillis, AnswerHead head) {
        last().headAfterMillis = nowMillis - receivedAtMillis;
        last().head = head;
        if (beganAfterMillis < 0 && head.status() < FIRST_ERROR_STATUS) {
            beganAfterMillis = last().headAfterMillis;
        }
    }

    void attemptEnded(String how) {
        if (!steps.isEmpty()) {
            last().end = how;
        }
    }

    void finished(Verdict newVerdict, int newStatus, String newOutcome) {
        this.verdict = newVerdict;
        this.status = newStatus;
        this.outcome = newOutcome;
    }

    private Step last() {
        return steps.get(steps.size() - 1);
    }

    /** One choice of an endpoint. Times are in milliseconds after the request came in; -1 where it did not happen. */
    static final class Step {
        private final PlacementChoice choice;
        private final long chosenAfterMillis;
        private final DirectoryOrigin origin;
        private final long directoryAgeMillis;
        private long sentAfterMillis = -1;
        private long headAfterMillis = -1;
        private String stated = "";
        private @Nullable AnswerHead head;
        private @Nullable String end;

        private Step(PlacementChoice choice, DirectoryOrigin origin, long receivedAtMillis, long nowMillis) {
            this.choice = choice;
            this.origin = origin;
            this.chosenAfterMillis = nowMillis - receivedAtMillis;
            this.directoryAgeMillis = nowMillis - origin.readAtMillis();
        }

        @Override
        public String toString() {
            return choice.endpoint().id() + " rank " + choice.rank() + " load " + choice.load() + "/"
                    + Math.round(choice.limit()) + " of " + choice.candidates() + " list " + origin.position()
                    + " from "
                    + origin.source() + (origin.settled() ? "" : " unsettled") + " listAge " + directoryAgeMillis
                    + " chosen " + chosenAfterMillis + " sent " + sentAfterMillis + " head " + headAfterMillis + stated
                    + choice.holder().map(holder -> " cacheFrom " + holder.id()).orElse("")
                    + (head == null ? "" : answer(head)) + (end == null ? "" : ": " + end);
        }

        private static String answer(AnswerHead head) {
            OptionalLong backoffMillis = head.backoffMillis();
            return " status " + head.status() + (head.leaving() ? " leaving" : "")
                    + (backoffMillis.isPresent() ? " retryAfter " + backoffMillis.getAsLong() : "");
        }
    }
}
