package org.radishpass.routing.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.dialect.EndpointLoad;
import org.radishpass.routing.dialect.ResponseHead;
import org.radishpass.routing.exchange.ResponseListener;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.framing.BodyFraming;
import org.radishpass.routing.framing.ContinuationDecision;
import org.radishpass.routing.framing.EventPosition;
import org.radishpass.routing.framing.ResponseEnd;
import org.radishpass.routing.health.EndpointHealth;
import org.radishpass.routing.performance.EndpointPerformance;
import org.radishpass.routing.placement.PlacementChoice;
import org.radishpass.routing.relay.RelayHeaders;
import org.radishpass.routing.stream.StreamOrigin;

/**
 * One attempt to run a request at one endpoint. An attempt owns a connection, relays the response and is counted as
 * a request in flight at its endpoint. The owner decides whether the request is retried. No call follows after the
 * owner was notified of the end of the attempt.
 */
final class Attempt implements ResponseListener, ConnectionCallback {
    private final TrafficContext context;
    private final Owner owner;
    private final CallerConnection caller;
    private final ResponseRelay relay;
    private final ExchangeRecord record;
    private final ServiceEndpoint endpoint;
    private final @Nullable ServiceEndpoint cacheHolder;
    private final long tokens;
    private final int tokensToRead;
    private final ResponseTimer responseTimer;
    private @Nullable EndpointConnection connection;
    private boolean notRun;
    private boolean firstEventReceived;
    private boolean responseBegan;
    private int status;
    private long sentAtMillis;
    private boolean testsBackoffEnd;
    private boolean ended;

    /**
     * Creates an attempt and counts it as in flight at its endpoint.
     *
     * @param context the shared state of the traffic event loop
     * @param owner decides what happens to the request
     * @param caller the connection of the caller
     * @param relay relays the response to the caller
     * @param record the log record of the request
     * @param choice the chosen endpoint
     * @param tokens the tokens that the request is counted with at the endpoint
     */
    Attempt(
            TrafficContext context,
            Owner owner,
            CallerConnection caller,
            ResponseRelay relay,
            ExchangeRecord record,
            PlacementChoice choice,
            long tokens) {
        this.context = context;
        this.owner = owner;
        this.caller = caller;
        this.relay = relay;
        this.record = record;
        this.endpoint = choice.endpoint();
        this.cacheHolder = choice.cacheHolder();
        this.tokens = tokens;
        this.tokensToRead = choice.estimate().tokensToRead();
        this.responseTimer = new ResponseTimer(context, endpoint, record.terms().route(), () -> owner.overdue(this));
        context.inFlight().started(endpoint.id(), tokens);
    }

    ServiceEndpoint endpoint() {
        return endpoint;
    }

    /** Tells whether a first part of the response has been relayed to the caller; the head alone does not count. */
    boolean responseBegan() {
        return responseBegan;
    }

    /** Returns another endpoint that probably has more of the prompt in its cache, or null. */
    @Nullable
    ServiceEndpoint cacheHolder() {
        return cacheHolder;
    }

    /** Records that the request is being sent. */
    void markSent() {
        testsBackoffEnd = context.signals().requestSent(endpoint);
    }

    /** Tells whether a response from the endpoint is awaited. */
    boolean awaitsResponseFrom(String endpointId) {
        return endpoint.id().equals(endpointId) && awaitingResponse();
    }

    /** Tells whether the attempt has a connection and has not ended. */
    boolean awaitingResponse() {
        return connection != null && !ended;
    }

    /** Tells whether the attempt has had a connection, and has not ended, for longer than the given time. */
    boolean awaitsResponseLongerThan(long millis, long nowMillis) {
        return awaitingResponse() && nowMillis - sentAtMillis > millis;
    }

    /**
     * Tells whether the attempt failed on a reused connection before any response. The endpoint probably closed an idle
     * connection, which does not count as a failure of the endpoint.
     */
    boolean idleConnectionWasClosed() {
        return status == 0 && connection != null && connection.usedBefore();
    }

    /** Enables or disables reading of the response. */
    void autoRead(boolean enabled) {
        if (connection != null) {
            connection.autoRead(enabled);
        }
    }

    /** Ends the attempt and closes its connection, upon which the endpoint stops working on the request. */
    void stop() {
        markEnded();
        EndpointConnection used = connection;
        connection = null;
        if (used != null) {
            used.close();
        }
    }

    /** Ends the attempt before the request was sent. The connection returns to the pool. */
    void withdraw() {
        markEnded();
        EndpointConnection unused = connection;
        connection = null;
        if (unused != null) {
            unused.release();
        }
    }

    @Override
    public void connected(EndpointConnection newConnection) {
        health().connected(context.nowMillis());
        if (ended) {
            newConnection.release();
            return;
        }
        connection = newConnection;
        sentAtMillis = context.nowMillis();
        owner.connected(this, newConnection);
        if (!ended) {
            responseTimer.start(record.receivedAtMillis());
        }
    }

    @Override
    public void connectFailed(ConnectFailure failure) {
        context.prober().connectFailed(endpoint, failure);
        if (ended) {
            return;
        }
        markEnded();
        record.attemptEnded("unreachable: " + failure.cause());
        owner.unreachable(this);
    }

    @Override
    public void shareUsedUp() {
        if (ended) {
            return;
        }
        markEnded();
        record.attemptEnded("this router's share of the endpoint's connections is in use");
        owner.noConnectionFree(this);
    }

    @Override
    public void head(HttpResponse response, ResponseHead head) {
        status = head.status();
        record.headReceived(context.nowMillis(), head);
        recordLoad(head);
        reportBackoffTest(!head.notRun() && head.backoffMillis().isEmpty());
        notRun = head.notRun() || status == HttpResponseStatus.MISDIRECTED_REQUEST.code();
        if (notRun) {
            return;
        }
        if (!record.relayedFor().isEmpty()) {
            RelayHeaders.encodeOrigin(StreamOrigin.of(endpoint), response.headers());
            RelayHeaders.encodeAttemptsUsed(owner.attemptsUsed(), response.headers());
        }
        boolean serverError = status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
        if (serverError) {
            recordFailure();
        }
        if (relay.relayHead(response) instanceof ContinuationDecision.Rejected rejected) {
            rejected(rejected);
        } else if (!serverError) {
            responseTimer.responseStarted();
        } else {
            owner.serverError(this, status);
        }
    }

    private void rejected(ContinuationDecision.Rejected decision) {
        stop();
        context.requestLog().continuedStreams().rejected(ResponseEndMetrics.Sender.ENDPOINT);
        owner.continuationRejected(this, decision.cause());
    }

    @Override
    public void content(ByteBuf part) {
        if (notRun) {
            part.release();
            return;
        }
        recordFirstEvent();
        ContinuationDecision decision = relay.relayContent(part);
        if (relay.forwarded()) {
            recordResponseBegan();
            owner.responseStarted(this);
        }
        if (decision instanceof ContinuationDecision.Rejected rejected) {
            rejected(rejected);
            return;
        }
        if (connection != null && !caller.writable()) {
            connection.autoRead(false);
        }
    }

    @Override
    public void readComplete() {
        relay.flush();
    }

    @Override
    public void completed(BodyFraming framing) {
        ResponseEnd end = notRun ? ResponseEnd.of(framing, false, 0, EventPosition.NO_STREAM) : relay.end(framing);
        if (!end.whole()) {
            brokenOff(framing, end);
            return;
        }
        markEnded();
        responseEnded(framing, end);
        if (notRun) {
            owner.provedNotRun(this, status);
            return;
        }
        if (status < HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) {
            health().succeeded();
        }
        recordResponseBegan();
        owner.responseCompleted(this, status);
    }

    @Override
    public void failed(BodyFraming framing, ResponseEnd.BrokenOff end) {
        brokenOff(framing, end);
    }

    private void brokenOff(BodyFraming framing, ResponseEnd end) {
        markEnded();
        responseEnded(framing, end);
        long nowMillis = context.nowMillis();
        if (!wasResetByCap()) {
            if (!idleConnectionWasClosed()) {
                recordFailure();
            }
            health().disconnected(nowMillis);
        }
        context.exitDetector()
                .responseFailed(endpoint, record.inProgress(nowMillis - sentAtMillis, responseBegan), nowMillis);
        context.prober().probe(endpoint);
        owner.responseFailed(this, end.cause());
    }

    private void responseEnded(BodyFraming framing, ResponseEnd end) {
        record.responseEnded(framing, end);
        context.requestLog().responseEnds().ended(framing, end, ResponseEndMetrics.Sender.ENDPOINT);
    }

    /**
     * Tells whether the endpoint most likely reset the connection because it held as many connections as it accepts.
     * The failed response is still passed to the exit detector, which reports nothing unless the endpoint also refuses
     * connections, and that shows that its process has exited.
     */
    private boolean wasResetByCap() {
        return connection != null && connection.resetByCap();
    }

    private void recordLoad(ResponseHead head) {
        EndpointPerformance performance = context.chooser().performance();
        if (head.invalidLoad()) {
            performance.invalidLoadReceived();
        }
        EndpointLoad load = head.endpointLoad();
        if (load != null) {
            performance.loadReceived(endpoint, load, context.nowMillis());
        }
    }

    private void recordFirstEvent() {
        if (!firstEventReceived && status < HttpResponseStatus.BAD_REQUEST.code()) {
            long nowMillis = context.nowMillis();
            context.chooser().performance().firstEvent(endpoint, tokensToRead, nowMillis - sentAtMillis, nowMillis);
        }
        firstEventReceived = true;
    }

    /** Records that the endpoint runs the prompt, of which an error is no proof. */
    private void recordResponseBegan() {
        if (!responseBegan && status < HttpResponseStatus.BAD_REQUEST.code()) {
            responseBegan = true;
            context.quarantine()
                    .responseBegan(
                            record.features().parts(),
                            endpoint.service(),
                            endpoint.softwareVersion(),
                            context.nowMillis());
        }
    }

    private void recordFailure() {
        if (health().failed(context.nowMillis())) {
            context.requestLog().endpointFailing(endpoint);
        }
    }

    private void reportBackoffTest(boolean accepted) {
        if (testsBackoffEnd) {
            testsBackoffEnd = false;
            context.signals().backoffTested(endpoint, accepted);
        }
    }

    private EndpointHealth health() {
        return context.health().of(endpoint.id(), context.nowMillis());
    }

    private void markEnded() {
        if (!ended) {
            ended = true;
            responseTimer.stop();
            reportBackoffTest(false);
            context.inFlight().ended(endpoint.id(), tokens);
        }
    }

    /** Decides whether a request is retried, and ends it otherwise. */
    interface Owner {
        /** Called when a connection is available and the request can be sent. */
        void connected(Attempt attempt, EndpointConnection connection);

        /** Called when no connection could be established. Nothing was sent. */
        void unreachable(Attempt attempt);

        /**
         * Called when this router holds as many connections to the endpoint as it may, and none became idle in time.
         * Nothing was sent.
         */
        void noConnectionFree(Attempt attempt);

        /** Returns how many endpoints may have run the request, that of the current attempt included. */
        int attemptsUsed();

        /** Called when the response is overdue compared with the usual response time of the route. */
        void overdue(Attempt attempt);

        /**
         * Called when the endpoint responds with a server error, of which the caller has been sent nothing. The owner may
         * stop the attempt and continue without this response.
         */
        void serverError(Attempt attempt, int status);

        /**
         * Called when the endpoint was to continue a response and sends something else. The attempt has been stopped.
         *
         * @param cause what does not match, as written to logs
         */
        void continuationRejected(Attempt attempt, String cause);

        /** Called with each part of a response of which the caller has been sent a part. */
        void responseStarted(Attempt attempt);

        /** Called when the endpoint has proved that it did not run the request. */
        void provedNotRun(Attempt attempt, int status);

        /** Called when the response is whole. */
        void responseCompleted(Attempt attempt, int status);

        /** Called when the response broke off, or nothing shows that it was whole. */
        void responseFailed(Attempt attempt, String cause);
    }
}
