package org.radishpass.routing.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ImmediateEventExecutor;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.outcome.RefusalCode;
import org.radishpass.core.outcome.Verdict;
import org.radishpass.routing.config.Route;
import org.radishpass.routing.dialect.ForwardingHeaders;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.placement.PlacementChoice;
import org.radishpass.routing.stream.StreamOrigin;

/**
 * Handles one request, from its complete reception until its response is complete, refused or aborted.
 *
 * <p>A request is at one endpoint at a time. A {@link Verdict} records whether the request may have run. A
 * refusal that promises that the request was not run is sent only while the verdict is {@link Verdict#NOT_RUN}.
 */
final class Exchange implements Attempt.Owner, BackoffWait.Owner, RelayedExchange.Owner {
    private static final Future<?> NO_TIMER = ImmediateEventExecutor.INSTANCE.newSucceededFuture(null);

    private final TrafficContext context;
    private final CallerConnection caller;
    private final PreparedRequest prepared;
    private final HttpRequest request;
    private final ByteBuf body;
    private final ExchangeRecord record;
    private final SendHistory history = new SendHistory();
    private final ExchangeRefusal refusal;
    private final AttemptPlanner planner;
    private final RelayedExchange relayed;
    private final RetryGuard retryGuard;
    private final StreamContinuation stream;
    private QuarantineGuard quarantineGuard;
    private RequestTerms terms = RequestTerms.UNKNOWN;
    private @Nullable ResponseRelay relay;
    private @Nullable Attempt attempt;
    private @Nullable BackoffWait currentBackoffWait;
    private Future<?> deadlineTimer = NO_TIMER;
    private boolean ended;

    Exchange(TrafficContext context, CallerConnection caller, PreparedRequest prepared) {
        this.context = context;
        this.caller = caller;
        this.prepared = prepared;
        this.request = prepared.request();
        this.body = prepared.body();
        this.record = prepared.record();
        this.retryGuard = new RetryGuard(context, record, history);
        this.stream = new StreamContinuation(context, record);
        this.refusal = new ExchangeRefusal(context, caller, record, history, this::end);
        RelayPlanner relayPlanner = new RelayPlanner(context, record, prepared.relayed());
        this.planner = new AttemptPlanner(context, record, history, relayPlanner);
        this.relayed = new RelayedExchange(context, caller, record, history, retryGuard, relayPlanner, this);
        this.quarantineGuard = new QuarantineGuard(context, record);
        context.exchanges().add(this);
    }

    /** Starts the first attempt, if the request can be resolved. */
    void begin() {
        Resolution resolution = prepared.resolution();
        if (resolution instanceof Resolution.Refused refused) {
            refusal.refuse(refused.code(), refused.detail(), refused.delay().header());
        } else if (resolution instanceof Resolution.Resolved resolved) {
            start(resolved.terms());
        }
    }

    private void start(RequestTerms resolved) {
        terms = resolved;
        relay = new ResponseRelay(caller, terms.kind());
        record.terms(terms, prepared.features(terms));
        if (!context.gracefulStop().accepts(record)) {
            perform(NextStep.STOPPING);
            return;
        }
        quarantineGuard = new QuarantineGuard(context, record);
        if (!prepared.relayed()) {
            context.retryBudget().requested(terms.service(), context.nowMillis());
        }
        long remainingMillis = terms.remainingMillis(context.nowMillis());
        deadlineTimer =
                context.loop().schedule(this::deadlineExpired, Math.max(0, remainingMillis), TimeUnit.MILLISECONDS);
        if (!planner.relaysFirst(terms)) {
            context.shareGuard().arrived(terms); // otherwise it counts at the router that sends it to an endpoint
        }
        if (terms.takesUpStream()) {
            stream.resolve(terms, this::streamResolved);
        } else {
            placeAndAttempt();
        }
    }

    private void streamResolved(Optional<RequestTerms> bound) {
        if (ended) {
            return;
        }
        if (bound.isEmpty()) {
            refusal.refuse(RefusalCode.STREAM_LOST, "no router knows which software version began the stream", null);
            return;
        }
        terms = bound.get();
        placeAndAttempt();
    }

    /** Does what is next with a request that is at no endpoint. */
    void placeAndAttempt() {
        perform(planner.next(terms, quarantineGuard, backoffWait(), relay().started()));
    }

    private void perform(NextStep step) {
        if (step instanceof NextStep.Send send) {
            startAttempt(send.choice());
        } else if (step instanceof NextStep.Relay relayStep) {
            startRelay(relayStep.router());
        } else if (step instanceof NextStep.GiveUp end) {
            giveUp(end.code(), end.detail());
        } else if (!backoffWait().enqueue()) {
            refuseInBackoff(backoffWait().earliestEndMillis());
        }
    }

    private void startRelay(FleetRouter router) {
        if (retryGuard.maySend(terms)) {
            relayed.start(retryGuard.take(), router, request, body, relay());
        } else {
            retryDenied();
        }
    }

    /** Ends the request because it must not be sent again. */
    void retryDenied() {
        perform(planner.lacksCapacity(terms, "the request must not be sent again"));
    }

    private BackoffWait backoffWait() {
        BackoffWait current = currentBackoffWait;
        if (current == null) {
            current = new BackoffWait(context, terms, history, this);
            currentBackoffWait = current;
        }
        return current;
    }

    @Override
    public void endpointAvailable(PlacementChoice choice) {
        startAttempt(choice);
    }

    @Override
    public void refuseInBackoff(long endMillis) {
        refusal.refuseInBackoff(endMillis);
    }

    private void startAttempt(PlacementChoice choice) {
        record.chosen(choice, context.view(), context.nowMillis());
        Attempt next = new Attempt(context, this, caller, relay(), record, choice, terms.maxTokens());
        attempt = next;
        EndpointPool pool = context.connections().pool(next.endpoint());
        long waitUntilMillis = connectionWaitEndMillis();
        if (history.sends() > 0) {
            pool.connect(waitUntilMillis, next);
        } else {
            pool.acquire(terms.requestId(), terms.kind().retryableAfterRun(), waitUntilMillis, next);
        }
    }

    private long connectionWaitEndMillis() {
        Route route = terms.route();
        long usualMillis = SendDeadlines.usualMillis(context.responseTimes(), route);
        return SendDeadlines.connectionWaitEnd(
                context.nowMillis(),
                record.receivedAtMillis() + route.targetLatencyMillis() - usualMillis,
                SendDeadlines.latestSend(terms.deadlineMillis(), usualMillis),
                planner.connectionsToTry(terms));
    }

    private ResponseRelay relay() {
        ResponseRelay current = relay;
        if (current == null) {
            throw new IllegalStateException("a response was relayed before the request was resolved");
        }
        return current;
    }

    /**
     * Retries the request after its response failed or was an error that another endpoint may not return, or gives up.
     */
    private void retryOrGiveUp(String cause) {
        record.attemptEnded(cause);
        relay().discardPending();
        if (retryGuard.mayRetryAfterRun(terms, relay(), quarantineGuard)) {
            placeAndAttempt();
        } else {
            giveUp(RefusalCode.ENDPOINT_FAILED, "the endpoint failed");
        }
    }

    private void giveUp(RefusalCode code, String detail) {
        refusal.giveUp(code, detail, relay().started());
    }

    /** Ends the request because its deadline has passed. */
    void deadlineExpired() {
        if (ended) {
            return;
        }
        stopAttempt();
        RefusalCode code = history.notRun() ? RefusalCode.OVERLOADED : RefusalCode.DEADLINE;
        giveUp(code, "the time for an answer is over");
    }

    /** Ends the request because the process is about to end. */
    void endForStop() {
        if (!ended) {
            stopAttempt();
            perform(NextStep.STOPPING);
        }
    }

    /** Stops the attempt because the caller has closed its connection. */
    void callerDisconnected() {
        if (ended) {
            return;
        }
        stopAttempt();
        record.finished(history.verdict(), 0, "the caller left");
        end();
    }

    /** Resumes or suspends reading of the response when the connection of the caller becomes writable or not. */
    void callerWritabilityChanged(boolean writable) {
        if (attempt != null) {
            attempt.autoRead(writable);
        }
        relayed.autoRead(writable);
    }

    /** Returns the current attempt, or null. */
    @Nullable
    Attempt attempt() {
        return attempt;
    }

    /**
     * Retries the request at another endpoint because its endpoint is unreachable. A request that must not be run
     * twice keeps waiting.
     */
    void endpointUnreachable() {
        if (ended || attempt == null || !terms.kind().retryableAfterRun()) {
            return;
        }
        ServiceEndpoint endpoint = attempt.endpoint();
        context.exitDetector()
                .responseFailed(
                        endpoint,
                        record.inProgress(history.millisSinceLastSend(context.nowMillis()), attempt.responseBegan()),
                        context.nowMillis());
        stopAttempt();
        quarantineGuard.responseFailed(endpoint);
        retryOrGiveUp("the endpoint cannot be reached any more");
    }

    private void withdrawAttempt() {
        Attempt current = attempt;
        attempt = null;
        if (current != null) {
            current.withdraw();
        }
    }

    private void stopAttempt() {
        relayed.stop();
        Attempt current = attempt;
        attempt = null;
        if (current != null) {
            history.tried(current.endpoint());
            current.stop();
        }
    }

    @Override
    public void continueAfterRelay() {
        placeAndAttempt();
    }

    @Override
    public void retryAfterRelay(String cause) {
        retryOrGiveUp(cause);
    }

    @Override
    public void relayedResponseComplete() {
        completeResponse();
    }

    @Override
    public void giveUpAfterRelay() {
        giveUp(RefusalCode.ENDPOINT_FAILED, "the router to which the request was relayed did not answer it");
    }

    @Override
    public void endAfterRelay() {
        end();
    }

    private void end() {
        ended = true;
        deadlineTimer.cancel(false);
        body.release();
        if (currentBackoffWait != null) {
            currentBackoffWait.cancel();
        }
        if (relay != null) {
            relay.discardPending();
        }
        context.exchanges().remove(this);
        context.requestLog().finished(record, context.nowMillis());
    }

    @Override
    public void connected(Attempt current, EndpointConnection connection) {
        Optional<SendObstacle> obstacle = SendObstacle.first(new SendObstacle.Candidate(
                context, caller, record, terms, quarantineGuard, retryGuard, current.endpoint()));
        if (obstacle.isPresent()) {
            withdrawAttempt();
            obstacle.get().resolve(this);
        } else {
            send(current, connection);
        }
    }

    /** Chooses an endpoint again, since the chosen one was not sent the request. */
    void attemptWithdrawn(String cause) {
        record.attemptEnded(cause);
        placeAndAttempt();
    }

    private void send(Attempt current, EndpointConnection connection) {
        long nowMillis = context.nowMillis();
        history.sent(nowMillis);
        record.sentOn(connection.nextUse());
        record.sent(nowMillis, context.signals().countUnwantedSend(current.endpoint()));
        record.origin()
                .ifPresent(origin -> context.requestLog().continuedStreams().continued(origin, current.endpoint()));
        quarantineGuard.sent();
        current.markSent();
        context.shareGuard().sent(terms);
        terms.prompt().ifPresent(prompt -> context.chooser().sent(prompt, current.endpoint(), nowMillis));
        ForwardingHeaders forwarding = terms.forwardingHeaders(
                current.endpoint(), terms.remainingMillis(nowMillis), relay().lastEventId(), current.cacheHolder());
        connection.send(
                retryGuard.take(),
                ForwardedRequest.create(request, body, context.dialect(), forwarding),
                terms.requestId(),
                current);
    }

    /**
     * Retries a request that may be run again at another endpoint, if one has capacity. The first attempt is
     * stopped by closing its connection.
     */
    @Override
    public void overdue(Attempt late) {
        if (late != attempt
                || relay().started()
                || !terms.kind().retryableAfterRun()
                || !quarantineGuard.mayBeRetried()) {
            return;
        }
        Optional<PlacementChoice> alternative =
                context.placer().alternative(terms, history.triedEndpoints(), late.endpoint());
        if (alternative.isPresent() && !terms.atQueueLimit(alternative.get()) && retryGuard.mayRetry(terms)) {
            record.attemptEnded("no answer within " + history.millisSinceLastSend(context.nowMillis()) + " ms");
            stopAttempt();
            startAttempt(alternative.get());
        }
    }

    @Override
    public int attemptsUsed() {
        return history.attemptsUsed();
    }

    @Override
    public void unreachable(Attempt failed) {
        attempt = null;
        history.tried(failed.endpoint());
        placeAndAttempt();
    }

    @Override
    public void noConnectionFree(Attempt full) {
        attempt = null;
        history.tried(full.endpoint());
        planner.noConnectionFree(terms).ifPresentOrElse(this::perform, this::placeAndAttempt);
    }

    @Override
    public void serverError(Attempt failed, int status) {
        boolean alternativeExists =
                terms.kind().retryableAfterRun() && context.placer().hasAlternative(terms, history, failed.endpoint());
        if (alternativeExists && retryGuard.mayRetry(terms)) {
            attempt = null;
            failed.stop();
            history.tried(failed.endpoint());
            record.attemptEnded("status " + status);
            relay().discardPending();
            placeAndAttempt();
        }
    }

    @Override
    public void continuationRejected(Attempt rejected, String cause) {
        attempt = null;
        history.tried(rejected.endpoint());
        retryOrGiveUp(cause);
    }

    @Override
    public void responseStarted(Attempt current) {
        terms = stream.began(terms, StreamOrigin.of(current.endpoint()));
    }

    @Override
    public void relayedResponseStarted(StreamOrigin origin) {
        terms = stream.began(terms, origin);
    }

    @Override
    public void provedNotRun(Attempt refused, int status) {
        attempt = null;
        history.tried(refused.endpoint());
        history.lastSendNotRun();
        record.attemptEnded("not run, status " + status);
        if (status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
            context.reportEndpointReplaced(refused.endpoint());
        } else {
            context.shareGuard().rejected(terms);
        }
        if (retryGuard.mayRetry(terms)) {
            placeAndAttempt();
        } else {
            perform(planner.lacksCapacity(terms, "the endpoint did not take the request"));
        }
    }

    @Override
    public void responseCompleted(Attempt finished, int status) {
        attempt = null;
        history.tried(finished.endpoint());
        record.finished(Verdict.RAN, status, "answered");
        if (status < HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) {
            quarantineGuard.responseCompleted();
            context.shareGuard().completed(terms);
        }
        completeResponse();
    }

    private void completeResponse() {
        relay().complete();
        end();
    }

    @Override
    public void responseFailed(Attempt failed, String cause) {
        attempt = null;
        quarantineGuard.responseFailed(failed.endpoint());
        if (!failed.idleConnectionWasClosed()) {
            history.tried(failed.endpoint());
        }
        retryOrGiveUp(cause);
    }
}
