package org.radishpass.routing.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.outcome.Verdict;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.stream.StreamOrigin;

/** The course of one request through other routers, until one of them has answered it or none is left to try. */
final class RelayedExchange implements RelayAttempt.Owner {
    /** The statuses by which a router promises that the request has not run and never will. */
    private static final Set<HttpResponseStatus> NOT_RUN_STATUSES = Set.of(
            HttpResponseStatus.REQUEST_TIMEOUT,
            HttpResponseStatus.MISDIRECTED_REQUEST,
            HttpResponseStatus.TOO_MANY_REQUESTS,
            HttpResponseStatus.SERVICE_UNAVAILABLE);

    private final TrafficContext context;
    private final CallerConnection caller;
    private final ExchangeRecord record;
    private final SendHistory history;
    private final RetryGuard retryGuard;
    private final RelayPlanner planner;
    private final Owner owner;
    private @Nullable RelayAttempt attempt;
    private boolean sent;
    private boolean responseStarted;

    RelayedExchange(
            TrafficContext context,
            CallerConnection caller,
            ExchangeRecord record,
            SendHistory history,
            RetryGuard retryGuard,
            RelayPlanner planner,
            Owner owner) {
        this.context = context;
        this.caller = caller;
        this.record = record;
        this.history = history;
        this.retryGuard = retryGuard;
        this.planner = planner;
        this.owner = owner;
    }

    /**
     * Sends the request to another router.
     *
     * @param permit the permission for this send
     * @param router the other router
     * @param request the head as received from the caller
     * @param body the body, which is not consumed
     * @param relay relays the response to the caller
     */
    void start(SendPermit permit, FleetRouter router, HttpRequest request, ByteBuf body, ResponseRelay relay) {
        RelayAttempt next = new RelayAttempt(context, this, caller, relay, record, router, permit);
        attempt = next;
        sent = false;
        responseStarted = relay.started();
        next.start(request, body, history.attemptsUsed());
    }

    /** Enables or disables reading of the response. */
    void autoRead(boolean enabled) {
        if (attempt != null) {
            attempt.autoRead(enabled);
        }
    }

    /** Ends the attempt in progress, if there is one. */
    void stop() {
        RelayAttempt current = attempt;
        attempt = null;
        if (current != null) {
            current.stop();
        }
    }

    @Override
    public void relaySending() {
        sent = true;
        history.sent(context.nowMillis());
    }

    @Override
    public void relayNotRead() {
        attempt = null;
        retryGuard.reachedNoEndpoint();
        owner.continueAfterRelay();
    }

    @Override
    public void relayRefused(FleetRouter router, HttpResponse response, ByteBuf body, int endpointSends) {
        attempt = null;
        boolean promisesNotRun = NOT_RUN_STATUSES.contains(response.status());
        if (promisesNotRun) {
            recordNotRun(sent ? endpointSends : 0);
            context.relay().peers().refused(router.id(), context.nowMillis());
            if (mayContinue()) {
                body.release();
                owner.continueAfterRelay();
                return;
            }
        }
        if (responseStarted || (promisesNotRun && !history.notRun())) {
            body.release();
            owner.giveUpAfterRelay();
            return;
        }
        record.finished(history.verdict(), response.status().code(), "refused by router " + router.id());
        owner.endAfterRelay();
        caller.respond(response.status(), body, response.headers().get(HttpHeaderNames.RETRY_AFTER));
    }

    private void recordNotRun(int endpointSends) {
        if (sent) {
            history.relayNotRun(endpointSends);
        }
        if (endpointSends == 0) {
            retryGuard.reachedNoEndpoint();
        }
    }

    private boolean mayContinue() {
        return (responseStarted || planner.canRelay(record.terms())) && retryGuard.maySend(record.terms());
    }

    @Override
    public void relayAnswered(int attemptsUsed) {
        history.sentByOther(attemptsUsed);
    }

    @Override
    public void relayedResponseStarted(StreamOrigin origin) {
        owner.relayedResponseStarted(origin);
    }

    @Override
    public void relayCompleted(int status) {
        attempt = null;
        record.finished(Verdict.RAN, status, "answered");
        owner.relayedResponseComplete();
    }

    @Override
    public void relayFailed(String cause) {
        attempt = null;
        owner.retryAfterRelay(cause);
    }

    /** Continues or ends the request when no other router is working on it any more. */
    interface Owner {
        /** Called when the request has certainly not run at the other router. */
        void continueAfterRelay();

        /** Called when the response of the other router has failed and the request may have run. */
        void retryAfterRelay(String cause);

        /** Called with each part of a response of which the caller has been sent a beginning. */
        void relayedResponseStarted(StreamOrigin origin);

        /** Called when the response of the other router is complete. */
        void relayedResponseComplete();

        /** Called when the other router has ended a request whose response has started, or that may have run before. */
        void giveUpAfterRelay();

        /** Called before the caller gets the refusal of the other router. */
        void endAfterRelay();
    }
}
