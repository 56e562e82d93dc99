package org.radishpass.routing.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.outcome.Verdict;
import org.radishpass.routing.connection.ConnectionUse;
import org.radishpass.routing.dialect.ResponseHead;
import org.radishpass.routing.fairness.ShareDecision;
import org.radishpass.routing.framing.BodyFraming;
import org.radishpass.routing.framing.ResponseEnd;
import org.radishpass.routing.placement.PlacementChoice;
import org.radishpass.routing.quarantine.InProgressRequest;
import org.radishpass.routing.quarantine.QuarantineDecision;
import org.radishpass.routing.quarantine.RequestFeatures;
import org.radishpass.routing.retry.RetryDecision;
import org.radishpass.routing.stream.OriginSource;
import org.radishpass.routing.stream.StreamOrigin;

/**
 * The log record of one request: the decisions, the age of the information that they were based on, and the outcome.
 */
final class ExchangeRecord {
    private static final int FIRST_ERROR_STATUS = 400;

    /** The maximum number of parts of a prompt in one line of the log. */
    private static final int MAX_LOGGED_PARTS = 32;

    private final long receivedAtMillis;
    private final List<RecordedAttempt> attempts = new ArrayList<>(1);
    private List<String> retryDecisions = List.of();
    private String requestId = "";
    private RequestFeatures features = RequestFeatures.UNKNOWN;
    private QuarantineDecision quarantine = QuarantineDecision.CLEAR;
    private long configurationVersion;
    private long configurationAgeMillis;
    private RequestTerms terms = RequestTerms.UNKNOWN;
    private @Nullable ShareDecision shareDecision;
    private Verdict verdict = Verdict.NOT_RUN;
    private int status;
    private long responseAfterMillis = -1;
    private String outcome = "";
    private @Nullable StreamOrigin origin;
    private String originSource = "";
    private String relayedFor = "";

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

    /**
     * Returns how long the configuration had been in force at this router when the request was received, in
     * milliseconds.
     */
    long configurationAgeMillis() {
        return configurationAgeMillis;
    }

    RequestTerms terms() {
        return terms;
    }

    Verdict verdict() {
        return verdict;
    }

    int status() {
        return status;
    }

    /** Tells whether the caller received a response that is not an error. */
    boolean answered() {
        return status > 0 && status < FIRST_ERROR_STATUS;
    }

    String outcome() {
        return outcome;
    }

    /**
     * Returns when the first successful response head was received, in milliseconds after the request was received; -1
     * if there was none.
     */
    long responseAfterMillis() {
        return responseAfterMillis;
    }

    List<RecordedAttempt> attempts() {
        return attempts;
    }

    /** Returns the decisions on retries of the request as written to the log, in their order. */
    List<String> retryDecisions() {
        return retryDecisions;
    }

    /** Records a decision on a retry of the request. */
    void retryDecided(RetryDecision decision) {
        List<String> decisions = new ArrayList<>(retryDecisions);
        decisions.add(decision.text());
        retryDecisions = decisions;
    }

    /** Returns the router that relayed the request to this one; empty if there is none. */
    String relayedFor() {
        return relayedFor;
    }

    /** Records the router that relayed the request to this one. */
    void relayedFor(String routerId) {
        this.relayedFor = routerId;
    }

    /** Records the request id and the configuration in force. */
    void requestIdentified(String id, long version, long inForceSinceMillis) {
        this.requestId = id;
        this.configurationVersion = version;
        this.configurationAgeMillis = receivedAtMillis - inForceSinceMillis;
    }

    /** Records the terms of the request and the features that may crash endpoints. */
    void terms(RequestTerms newTerms, RequestFeatures newFeatures) {
        this.terms = newTerms;
        this.features = newFeatures;
    }

    /** Records why the request is quarantined. */
    void quarantined(QuarantineDecision decision) {
        quarantine = decision;
    }

    /** Returns the feature for which the request was refused as written to the log; empty if it was not. */
    String causeText() {
        return quarantine.cause().map(Object::toString).orElse("");
    }

    /** Returns when the quarantine ends for which the request was refused, on the monotonic clock in milliseconds. */
    long quarantinedUntilMillis() {
        return quarantine.untilMillis();
    }

    RequestFeatures features() {
        return features;
    }

    /**
     * Returns this request as one that is in progress at an endpoint.
     *
     * @param millis the time since the request was sent there, in milliseconds
     * @param responseBegan whether the endpoint has begun to answer
     */
    InProgressRequest inProgress(long millis, boolean responseBegan) {
        return new InProgressRequest(features.request(), millis, responseBegan ? List.of() : features.parts());
    }

    /** Returns the parts of the prompt as written to the log: only if the request was not answered. */
    List<String> loggedParts() {
        return answered()
                ? List.of()
                : features.parts().stream()
                        .limit(MAX_LOGGED_PARTS)
                        .map(Object::toString)
                        .toList();
    }

    /** Returns the decision by the share of the request, or null before it was taken. */
    @Nullable
    ShareDecision shareDecision() {
        return shareDecision;
    }

    /** Returns the decision by the share of the request as written to the log; empty if there was none. */
    String shareText() {
        return shareDecision == null ? "" : shareDecision.text();
    }

    /** Records the decision by the share of the request. */
    void shareDecided(ShareDecision decision) {
        this.shareDecision = decision;
    }

    /** Records the choice of an endpoint. */
    void chosen(PlacementChoice choice, RoutingView view, long nowMillis) {
        attempts.add(new RecordedAttempt.AttemptRecord(choice, view.origin(), receivedAtMillis, nowMillis));
    }

    /** Records the choice of a router to which the request is relayed. */
    void relayedTo(String routerId, long nowMillis) {
        attempts.add(new RecordedAttempt.RelayRecord(routerId, nowMillis - receivedAtMillis));
    }

    /**
     * Records that the request was sent.
     *
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @param stated what the endpoint had stated against receiving requests; empty if nothing
     */
    void sent(long nowMillis, String stated) {
        lastAttempt().sentAfterMillis = nowMillis - receivedAtMillis;
        lastAttempt().stated = stated;
    }

    /** Records on which connection the request is sent. */
    void sentOn(ConnectionUse use) {
        if (lastAttempt() instanceof RecordedAttempt.AttemptRecord attempt) {
            attempt.sentOn(use);
        }
    }

    /** Records the head of a response to the current attempt. */
    void headReceived(long nowMillis, ResponseHead head) {
        lastAttempt().headAfterMillis = nowMillis - receivedAtMillis;
        if (lastAttempt() instanceof RecordedAttempt.AttemptRecord attempt) {
            attempt.head(head);
        }
        if (responseAfterMillis < 0 && head.status() < FIRST_ERROR_STATUS) {
            responseAfterMillis = lastAttempt().headAfterMillis;
        }
    }

    /** Records the head of a response through another router. */
    void relayedHeadReceived(long nowMillis, int headStatus) {
        lastAttempt().headAfterMillis = nowMillis - receivedAtMillis;
        lastAttempt().stated = " status " + headStatus;
        if (responseAfterMillis < 0 && headStatus < FIRST_ERROR_STATUS) {
            responseAfterMillis = lastAttempt().headAfterMillis;
        }
    }

    /** Returns what began the stream; empty if no event of a stream has been relayed. */
    Optional<StreamOrigin> origin() {
        return Optional.ofNullable(origin);
    }

    /** Returns from where it is known what began the stream that the caller takes up; empty if it takes up none. */
    String originSource() {
        return originSource;
    }

    /** Records from where it is known what began the stream that the caller takes up. */
    void originSource(OriginSource source) {
        this.originSource = source.text();
    }

    /** Records what began the stream. */
    void origin(StreamOrigin newOrigin) {
        this.origin = newOrigin;
    }

    /** Records how the response to the current attempt ended. */
    void responseEnded(BodyFraming framing, ResponseEnd end) {
        lastAttempt().responseEnded(framing, end);
    }

    /** Records how the current attempt ended. */
    void attemptEnded(String reason) {
        if (!attempts.isEmpty()) {
            lastAttempt().end = reason;
        }
    }

    /** Records the outcome of the request. */
    void finished(Verdict newVerdict, int newStatus, String newOutcome) {
        this.verdict = newVerdict;
        this.status = newStatus;
        this.outcome = newOutcome;
    }

    private RecordedAttempt lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }
}
