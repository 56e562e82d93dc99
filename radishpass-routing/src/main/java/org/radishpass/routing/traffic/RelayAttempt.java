package org.radishpass.routing.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.config.Workspace;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.fleet.SoftwareVersion;
import org.radishpass.routing.framing.BodyFraming;
import org.radishpass.routing.framing.ContinuationDecision;
import org.radishpass.routing.framing.EndEvidence;
import org.radishpass.routing.framing.ResponseEnd;
import org.radishpass.routing.relay.RelayCall;
import org.radishpass.routing.relay.RelayHeaders;
import org.radishpass.routing.relay.RelayListener;
import org.radishpass.routing.relay.RelayTerms;
import org.radishpass.routing.stream.StreamOrigin;

/**
 * One attempt to have a request run through another router. The other router decides about endpoints; this one relays the
 * response. The owner decides whether the request is tried again. No call follows after the owner was notified of the end.
 */
final class RelayAttempt implements RelayListener {
    /** Time that is kept back from the deadline, in milliseconds, so that the other router is the one to end the request. */
    private static final long RETURN_MILLIS = 10;

    private final TrafficContext context;
    private final Owner owner;
    private final CallerConnection caller;
    private final ResponseRelay relay;
    private final ExchangeRecord record;
    private final FleetRouter router;
    private final SendPermit permit;
    private @Nullable RelayCall call;
    private StreamOrigin origin = new StreamOrigin("", SoftwareVersion.UNKNOWN);
    private int status;

    RelayAttempt(
            TrafficContext context,
            Owner owner,
            CallerConnection caller,
            ResponseRelay relay,
            ExchangeRecord record,
            FleetRouter router,
            SendPermit permit) {
        this.context = context;
        this.owner = owner;
        this.caller = caller;
        this.relay = relay;
        this.record = record;
        this.router = router;
        this.permit = permit;
    }

    /**
     * Sends the request to the other router.
     *
     * @param received the head as received from the caller
     * @param body the body, which is not consumed
     * @param attemptsUsed the number of endpoints that may have run the request
     */
    void start(HttpRequest received, ByteBuf body, int attemptsUsed) {
        record.relayedTo(router.id(), context.nowMillis());
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, received.method(), received.uri());
        head.headers().set(received.headers());
        HopByHop.strip(head.headers());
        context.dialect().removeKey(head.headers());
        call = context.relay().client().send(router, terms(received, body, attemptsUsed), head, body, this);
    }

    private RelayTerms terms(HttpRequest received, ByteBuf body, int attemptsUsed) {
        RequestTerms terms = record.terms();
        return RelayTerms.builder(context.relay().routerId())
                .configurationVersion(record.configurationVersion())
                .workspace(terms.workspace().map(Workspace::name).orElse(null))
                .remainingMillis(Math.max(1, terms.remainingMillis(context.nowMillis()) - RETURN_MILLIS))
                .attempts(Math.max(1, terms.maxAttempts() - attemptsUsed))
                .resumeAfter(relay.lastEventId().orElse(null))
                .origin(terms.requiredOrigin())
                .body(
                        body.readableBytes(),
                        HttpUtil.isContentLengthSet(received) || HttpUtil.isTransferEncodingChunked(received))
                .build();
    }

    /** Enables or disables reading of the response. */
    void autoRead(boolean enabled) {
        if (call != null) {
            call.autoRead(enabled);
        }
    }

    /** Ends the attempt, upon which the other router stops working on the request. */
    void stop() {
        if (call != null) {
            call.cancel();
        }
    }

    @Override
    public void sending() {
        permit.use();
        record.sent(context.nowMillis(), "");
        owner.relaySending();
    }

    @Override
    public void notRead(String cause) {
        context.relay().peers().leaveOut(router.id(), context.nowMillis());
        record.attemptEnded(cause);
        owner.relayNotRead();
    }

    @Override
    public void refused(HttpResponse response, ByteBuf body) {
        record.relayedHeadReceived(context.nowMillis(), response.status().code());
        record.attemptEnded("refused by the router");
        owner.relayRefused(router, response, body, RelayHeaders.removeEndpointSends(response.headers()));
    }

    @Override
    public void head(HttpResponse response) {
        status = response.status().code();
        context.relay().peers().answered(router.id());
        record.relayedHeadReceived(context.nowMillis(), status);
        origin = RelayHeaders.removeOrigin(response.headers())
                .orElseGet(() -> new StreamOrigin(record.terms().service(), SoftwareVersion.UNKNOWN));
        owner.relayAnswered(RelayHeaders.removeAttemptsUsed(response.headers()));
        if (relay.relayHead(response) instanceof ContinuationDecision.Rejected rejected) {
            rejected(rejected);
        }
    }

    private void rejected(ContinuationDecision.Rejected decision) {
        stop();
        context.requestLog().continuedStreams().rejected(ResponseEndMetrics.Sender.ROUTER);
        owner.relayFailed(decision.cause());
    }

    @Override
    public void content(ByteBuf part) {
        ContinuationDecision decision = relay.relayContent(part);
        if (relay.forwarded()) {
            owner.relayedResponseStarted(origin);
        }
        if (decision instanceof ContinuationDecision.Rejected rejected) {
            rejected(rejected);
            return;
        }
        if (!caller.writable()) {
            autoRead(false);
        }
    }

    @Override
    public void readComplete() {
        relay.flush();
    }

    @Override
    public void completed(BodyFraming framing) {
        ResponseEnd end = relay.end(framing);
        responseEnded(framing, end);
        if (end.whole()) {
            owner.relayCompleted(status);
        } else {
            owner.relayFailed(end.cause());
        }
    }

    @Override
    public void failed(BodyFraming framing, ResponseEnd.BrokenOff end) {
        responseEnded(framing, end);
        if (status == 0 || end.evidence() != EndEvidence.CONNECTION_ENDED_EARLY) {
            context.relay().peers().leaveOut(router.id(), context.nowMillis());
        } // a response that the router itself breaks off tells of the endpoint, not of the router
        owner.relayFailed(end.cause());
    }

    private void responseEnded(BodyFraming framing, ResponseEnd end) {
        record.responseEnded(framing, end);
        context.requestLog().responseEnds().ended(framing, end, ResponseEndMetrics.Sender.ROUTER);
    }

    /** Decides what becomes of the request when the attempt ends. */
    interface Owner {
        /** Called before the end of the request is sent. From here on the request may run. */
        void relaySending();

        /** Called when the other router has certainly not read the request. */
        void relayNotRead();

        /**
         * Called when the other router has refused or ended the request. The owner must release the body.
         *
         * @param endpointSends how many times the other router has sent the request to an endpoint
         */
        void relayRefused(FleetRouter router, HttpResponse response, ByteBuf body, int endpointSends);

        /**
         * Called when the head of an endpoint's response was received through the other router.
         *
         * @param attemptsUsed how many endpoints may have run the request there
         */
        void relayAnswered(int attemptsUsed);

        /**
         * Called with each part of a response of which the caller has been sent a part.
         *
         * @param origin what began the stream; of unknown version if the router did not tell
         */
        void relayedResponseStarted(StreamOrigin origin);

        /** Called when the response is whole. */
        void relayCompleted(int status);

        /**
         * Called when the response broke off, nothing shows that it was whole, or it does not continue what the caller has
         * been sent. The request may have run.
         */
        void relayFailed(String cause);
    }
}
