package org.radishpass.routing.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.outcome.RefusalCode;
import org.radishpass.core.outcome.Verdict;
import org.radishpass.routing.config.Workspace;
import org.radishpass.routing.dialect.ForwardingHead;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.placement.PlacementChoice;
import org.radishpass.routing.quarantine.RequestFingerprint;

/**
 * The life of one request: from when it is whole until its answer is whole, refused or broken off.
 *
 * <p>It is at one endpoint at a time. What may be said of it in the end is kept as a {@link Verdict}: a refusal that
 * promises that it has not run goes out only while the verdict is {@link Verdict#NOT_RUN}.
 */
final class Exchange implements Attempt.Owner, BackoffWait.Owner {
    private final TrafficTools tools;
    private final CallerConnection caller;
    private final HttpRequest request;
    private final ByteBuf body;
    private final ExchangeRecord record;
    private final SendHistory history = new SendHistory();
    private final ExchangeRefusal refusal;
    private EndpointRisk risk;
    private Terms terms = Terms.UNKNOWN;
    private @Nullable AnswerRelay relay;
    private @Nullable Attempt attempt;
    private @Nullable BackoffWait wait;
    private @Nullable Future<?> timer;
    private boolean ended;

    Exchange(TrafficTools tools, CallerConnection caller, RequestAssembly assembly) {
        this.tools = tools;
        this.caller = caller;
        this.request = assembly.request();
        this.body = assembly.body();
        this.record = new ExchangeRecord(assembly.receivedAtMillis());
        this.refusal = new ExchangeRefusal(tools, caller, record, history, this::end);
        this.risk = new EndpointRisk(tools, RequestFingerprint.UNKNOWN, terms.service());
        tools.exchanges().add(this);
    }

    /** Finds out what is to become of the request, and starts its first attempt. */
    void begin() {
        Resolution resolution = tools.resolver().resolve(request, tools.view(), record, tools.nowMillis());
        if (resolution instanceof Resolution.Refused refused) {
            refusal.refuse(refused.code(), refused.detail(), refused.delay().header());
        } else if (resolution instanceof Resolution.Resolved resolved) {
            start(resolved.terms());
        }
    }

    private void start(Terms resolved) {
        terms = resolved;
        relay = new AnswerRelay(caller, terms.kind());
        record.terms(terms, fingerprint());
        if (tools.ended() || (tools.refusing() && terms.kind().streams())) {
            refusal.refuse(RefusalCode.NOT_READY, "this router is stopping", RetryDelay.ELSEWHERE.header());
            return;
        }
        risk = new EndpointRisk(tools, record.fingerprint(), terms.service());
        tools.budget().requested(terms.service(), tools.nowMillis());
        long left = terms.leftMillis(tools.nowMillis());
        timer = tools.loop().schedule(this::expired, Math.max(0, left), TimeUnit.MILLISECONDS);
        attempt();
    }

    private RequestFingerprint fingerprint() {
        return RequestFingerprint.of(
                terms.workspace().map(Workspace::name).orElse(""),
                request.method().name(),
                terms.host(),
                request.uri(),
                body);
    }

    private void attempt() {
        if (!risk.admitted()) {
            giveUpQuarantined();
            return;
        }
        Optional<PlacementChoice> choice = tools.placer().place(terms, history.triedEndpoints(), history.sends() > 0);
        if (choice.isEmpty() || backoffWait().overtakes(choice.get())) {
            waitOrGiveUp();
            return;
        }
        if (terms.full(choice.get())) {
            record.chosen(choice.get(), tools.view(), tools.nowMillis());
            giveUp(RefusalCode.OVERLOADED, "every endpoint of the service is full");
            return;
        }
        attempt(choice.get());
    }

    private BackoffWait backoffWait() {
        BackoffWait current = wait;
        if (current == null) {
            current = new BackoffWait(tools, terms, history, record.receivedAtMillis(), this);
            wait = current;
        }
        return current;
    }

    private void waitOrGiveUp() {
        BackoffWait current = backoffWait();
        boolean promised = !relay().started() && history.notRun();
        if (!promised || !current.inBackoff()) {
            giveUp(RefusalCode.NO_ENDPOINT, "no endpoint of the service is left to try");
        } else if (!current.begin()) {
            refuseInBackoff(current.endMillis());
        }
    }

    @Override
    public void place(PlacementChoice choice) {
        attempt(choice);
    }

    @Override
    public void refuseInBackoff(long endMillis) {
        refusal.refuseInBackoff(endMillis);
    }

    private void giveUpQuarantined() {
        giveUp(RefusalCode.QUARANTINED, "endpoints end when they run this request");
    }

    private void attempt(PlacementChoice choice) {
        record.chosen(choice, tools.view(), tools.nowMillis());
        Attempt next = new Attempt(tools, this, caller, relay(), record, choice, terms.tokens());
        attempt = next;
        EndpointPool pool = tools.connections().pool(next.endpoint());
        if (history.sends() > 0) {
            pool.open(next);
        } else {
            pool.acquire(terms.kind().mayRunAgain(), next);
        }
    }

    private AnswerRelay relay() {
        AnswerRelay current = relay;
        if (current == null) {
            throw new IllegalStateException("an answer before the terms are known");
        }
        return current;
    }

    /** The answer broke off, or was an error that another endpoint may do better. */
    private void failedAtEndpoint(String cause) {
        record.attemptEnded(cause);
        relay().dropPending();
        boolean repeatable = terms.kind().mayRunAgain()
                && (!relay().started() || terms.kind().resumes());
        if (repeatable && risk.mayBeRepeated() && mayRetry()) {
            attempt();
        } else {
            giveUp(RefusalCode.ENDPOINT_FAILED, "the endpoint failed");
        }
    }

    private boolean mayRetry() {
        return history.maySendAgain(terms.maxAttempts())
                && terms.leftMillis(tools.nowMillis()) > 0
                && tools.takeRetry(terms.service());
    }

    private void giveUp(RefusalCode code, String detail) {
        refusal.giveUp(code, detail, relay().started());
    }

    private void expired() {
        if (ended) {
            return;
        }
        stopAttempt();
        RefusalCode code = history.notRun() ? RefusalCode.OVERLOADED : RefusalCode.DEADLINE;
        giveUp(code, "the time for an answer is over");
    }

    /** The caller has closed its connection: what runs for it is stopped. */
    void callerLeft() {
        if (ended) {
            return;
        }
        stopAttempt();
        record.finished(history.verdict(), 0, "the caller left");
        end();
    }

    /** The caller reads again, or has stopped reading. */
    void callerWritable(boolean writable) {
        if (attempt != null) {
            attempt.reading(writable);
        }
    }

    /** Tells whether bytes of its endpoint are waited for. */
    boolean waitsFor(String endpointId) {
        return attempt != null && attempt.endpoint().id().equals(endpointId) && attempt.atWork();
    }

    /** Tells whether its endpoint has been waited for so long. */
    boolean waitsLonger(String endpointId, long millis, long nowMillis) {
        return waitsFor(endpointId) && history.sentMillisAgo(nowMillis) > millis;
    }

    /** The endpoint can no longer be reached: what may run again is tried elsewhere, the rest waits on. */
    void endpointUnreachable() {
        if (ended || attempt == null || !terms.kind().mayRunAgain()) {
            return;
        }
        ServiceEndpoint endpoint = attempt.endpoint();
        tools.ends().broke(endpoint, record.fingerprint(), history.sentMillisAgo(tools.nowMillis()), tools.nowMillis());
        stopAttempt();
        risk.brokeAt(endpoint);
        failedAtEndpoint("the endpoint cannot be reached any more");
    }

    private void withdrawAttempt() {
        Attempt current = attempt;
        attempt = null;
        if (current != null) {
            current.withdraw();
        }
    }

    private void stopAttempt() {
        Attempt current = attempt;
        attempt = null;
        if (current != null) {
            history.tried(current.endpoint());
            current.stop();
        }
    }

    private void end() {
        ended = true;
        Future<?> running = timer;
        if (running != null) {
            running.cancel(false);
        }
        body.release();
        if (wait != null) {
            wait.cancel();
        }
        if (relay != null) {
            relay.dropPending();
        }
        tools.exchanges().remove(this);
        tools.log().finished(record, tools.nowMillis());
    }

    @Override
    public void connected(Attempt current, EndpointConnection connection) {
        if (maySend(current.endpoint())) {
            send(current, connection);
        }
    }

    /** Looks once more whether the request is still wanted, in time and welcome; what is to become of it if not has been seen to. */
    private boolean maySend(ServiceEndpoint endpoint) {
        if (caller.hasLeft()) {
            withdrawAttempt();
            callerLeft();
        } else if (terms.leftMillis(tools.nowMillis()) <= 0) {
            withdrawAttempt();
            expired();
        } else if (!risk.admitted()) {
            withdrawAttempt();
            giveUpQuarantined();
        } else if (!tools.placer().stillOpen(terms, endpoint)) {
            withdrawAttempt();
            record.attemptEnded("the endpoint takes nothing new");
            attempt();
        } else {
            return true;
        }
        return false;
    }

    private void send(Attempt current, EndpointConnection connection) {
        long nowMillis = tools.nowMillis();
        history.sent(nowMillis);
        record.sent(nowMillis, tools.signals().statedAgainst(current.endpoint()));
        risk.sent();
        current.sent();
        terms.prompt().ifPresent(prompt -> tools.chooser().sent(prompt, current.endpoint(), nowMillis));
        ForwardingHead forwarding = terms.forwarding(
                current.endpoint(), terms.leftMillis(nowMillis), relay().lastEventId(), current.cacheHolder());
        connection.send(OnwardRequest.of(request, body, tools.dialect(), forwarding), terms.requestId(), current);
    }

    /**
     * Tries elsewhere what may run again, as long as that can still be answered in time. The first try ends with its connection.
     */
    @Override
    public void overdue(Attempt late) {
        if (late != attempt || relay().started() || !terms.kind().mayRunAgain() || !risk.mayBeRepeated()) {
            return;
        }
        Optional<PlacementChoice> other = tools.placer().another(terms, history.triedEndpoints(), late.endpoint());
        if (other.isPresent() && !terms.full(other.get()) && mayRetry()) {
            record.attemptEnded("no answer within " + history.sentMillisAgo(tools.nowMillis()) + " ms");
            stopAttempt();
            attempt(other.get());
        }
    }

    @Override
    public void unreachable(Attempt failed) {
        attempt = null;
        history.tried(failed.endpoint());
        attempt();
    }

    @Override
    public boolean takesError(Attempt failed, int status) {
        boolean anotherTakes =
                terms.kind().mayRunAgain() && tools.placer().anotherTakes(terms, history, failed.endpoint());
        if (anotherTakes && mayRetry()) {
            attempt = null;
            failed.stop();
            history.tried(failed.endpoint());
            record.attemptEnded("status " + status);
            attempt();
            return true;
        }
        if (relay().started()) {
            attempt = null;
            failed.stop();
            giveUp(RefusalCode.ENDPOINT_FAILED, "the endpoint could not go on with the answer");
            return true;
        }
        return false;
    }

    @Override
    public void notRun(Attempt refused, int status) {
        attempt = null;
        history.tried(refused.endpoint());
        history.lastNotRun();
        record.attemptEnded("not run, status " + status);
        if (status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
            tools.reportGone(refused.endpoint());
        }
        if (mayRetry()) {
            attempt();
        } else {
            giveUp(RefusalCode.OVERLOADED, "the endpoint did not take the request");
        }
    }

    @Override
    public void answered(Attempt whole, int status) {
        attempt = null;
        history.tried(whole.endpoint());
        record.finished(Verdict.RAN, status, "answered");
        if (status < HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) {
            risk.answered();
        }
        if (relay().complete()) {
            end();
        } else {
            failedAtEndpoint("the stream ended in the middle of an event");
        }
    }

    @Override
    public void broken(Attempt failed, String cause) {
        attempt = null;
        risk.brokeAt(failed.endpoint());
        if (!failed.keptConnectionWasClosed()) {
            history.tried(failed.endpoint());
        }
        failedAtEndpoint(cause);
    }
}
