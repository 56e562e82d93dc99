package org.radishpass.routing.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.dialect.AnswerHead;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.health.EndpointHealth;
import org.radishpass.routing.placement.PlacementChoice;

/**
 * One try of a request at one endpoint: its connection, its answer, and its share of the work in flight. What is to become
 * of the request is its owner's to decide; after the owner has heard of an end, nothing more comes.
 */
final class Attempt implements AnswerListener, ConnectionTaker {
    private final TrafficTools tools;
    private final Owner owner;
    private final CallerConnection caller;
    private final AnswerRelay relay;
    private final ExchangeRecord record;
    private final ServiceEndpoint endpoint;
    private final @Nullable ServiceEndpoint cacheHolder;
    private final long tokens;
    private final AnswerClock clock;
    private @Nullable EndpointConnection connection;
    private boolean refused;
    private int status;
    private long sentAtMillis;
    private boolean tests;
    private boolean over;

    /**
     * Starts an attempt; it counts as work in flight from here on.
     *
     * @param tools the traffic thread's tools
     * @param owner decides what becomes of the request
     * @param caller gets the answer
     * @param relay passes the answer on
     * @param record the account of the request
     * @param choice where it is to go
     * @param tokens the tokens that it is counted with
     */
    Attempt(
            TrafficTools tools,
            Owner owner,
            CallerConnection caller,
            AnswerRelay relay,
            ExchangeRecord record,
            PlacementChoice choice,
            long tokens) {
        this.tools = tools;
        this.owner = owner;
        this.caller = caller;
        this.relay = relay;
        this.record = record;
        this.endpoint = choice.endpoint();
        this.cacheHolder = choice.cacheHolder();
        this.tokens = tokens;
        this.clock = new AnswerClock(tools, endpoint, record.terms().route(), () -> owner.overdue(this));
        tools.book().started(endpoint.id(), tokens);
    }

    ServiceEndpoint endpoint() {
        return endpoint;
    }

    /** Returns another endpoint that probably holds more of the prompt, or null. */
    @Nullable
    ServiceEndpoint cacheHolder() {
        return cacheHolder;
    }

    /** Notes that the request is sent now. */
    void sent() {
        tests = tools.signals().sent(endpoint);
    }

    /** Tells whether the request was sent and its answer is waited for. */
    boolean atWork() {
        return connection != null && !over;
    }

    /** Tells whether it ended because the endpoint had closed an idle connection, which says nothing of the endpoint. */
    boolean keptConnectionWasClosed() {
        return status == 0 && connection != null && connection.usedBefore();
    }

    /** Lets more of the answer come, or holds it back. */
    void reading(boolean wanted) {
        if (connection != null) {
            connection.reading(wanted);
        }
    }

    /** Ends the attempt; the endpoint stops to work on it when its connection closes. */
    void stop() {
        finish();
        EndpointConnection used = connection;
        connection = null;
        if (used != null) {
            used.close();
        }
    }

    /** Ends the attempt before the request was sent; its connection can carry another one. */
    void withdraw() {
        finish();
        EndpointConnection unused = connection;
        connection = null;
        if (unused != null) {
            unused.release();
        }
    }

    @Override
    public void connected(EndpointConnection made) {
        health().connected(tools.nowMillis());
        if (over) {
            made.release();
            return;
        }
        connection = made;
        sentAtMillis = tools.nowMillis();
        owner.connected(this, made);
        if (!over) {
            clock.start(record.receivedAtMillis());
        }
    }

    @Override
    public void unreachable(ConnectFailure failure) {
        tools.watch().unreachable(endpoint, failure);
        if (over) {
            return;
        }
        finish();
        record.attemptEnded("unreachable: " + failure.cause());
        owner.unreachable(this);
    }

    @Override
    public void head(HttpResponse response, AnswerHead head) {
        status = head.status();
        record.headCame(tools.nowMillis(), head);
        accepted(!head.notRun() && head.backoffMillis().isEmpty());
        refused = head.notRun() || status == HttpResponseStatus.MISDIRECTED_REQUEST.code();
        if (refused) {
            return;
        }
        if (status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) {
            noteFailure();
            if (owner.takesError(this, status)) {
                return;
            }
        } else {
            health().succeeded();
            clock.answered();
        }
        relay.head(response);
    }

    @Override
    public void content(ByteBuf part) {
        if (refused) {
            part.release();
            return;
        }
        relay.content(part);
        if (connection != null && !caller.writable()) {
            connection.reading(false);
        }
    }

    @Override
    public void pause() {
        relay.flush();
    }

    @Override
    public void completed() {
        finish();
        if (refused) {
            owner.notRun(this, status);
        } else {
            owner.answered(this, status);
        }
    }

    @Override
    public void broken(String cause) {
        finish();
        if (!keptConnectionWasClosed()) {
            noteFailure();
        }
        long nowMillis = tools.nowMillis();
        health().broke(nowMillis);
        tools.ends().broke(endpoint, record.fingerprint(), nowMillis - sentAtMillis, nowMillis);
        tools.watch().lookAt(endpoint);
        owner.broken(this, cause);
    }

    private void noteFailure() {
        if (health().failed(tools.nowMillis())) {
            tools.log().endpointFailing(endpoint);
        }
    }

    private void accepted(boolean taken) {
        if (tests) {
            tests = false;
            tools.signals().answered(endpoint, taken);
        }
    }

    private EndpointHealth health() {
        return tools.health().of(endpoint.id(), tools.nowMillis());
    }

    private void finish() {
        if (!over) {
            over = true;
            clock.stop();
            accepted(false);
            tools.book().ended(endpoint.id(), tokens);
        }
    }

    /** Decides what becomes of a request. */
    interface Owner {
        /** There is a connection; the request can be sent. */
        void connected(Attempt attempt, EndpointConnection connection);

        /** No connection could be made; nothing was sent. */
        void unreachable(Attempt attempt);

        /** The answer takes far longer to begin than those of other endpoints. */
        void overdue(Attempt attempt);

        /**
         * The endpoint answers with an error of its own.
         *
         * @return whether the owner goes on without this answer; the attempt is then stopped
         */
        boolean takesError(Attempt attempt, int status);

        /** The endpoint has proved that it did not run the request. */
        void notRun(Attempt attempt, int status);

        /** The answer has come to its end. */
        void answered(Attempt attempt, int status);

        /** The answer broke off before its end. */
        void broken(Attempt attempt, String cause);
    }
}
