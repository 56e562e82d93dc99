package org.radishpass.router.internal.endpoint;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Clock;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiFunction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.radishpass.core.admission.PriorityClass;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.fleet.EndpointState;
import org.radishpass.core.fleet.Engine;
import org.radishpass.core.outcome.Verdict;
import org.radishpass.runtime.http.HttpRuntime;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Tests which verdict a request gets for each way in which its endpoint can fail. */
final class EndpointClientTest {
    private final HttpRuntime runtime = new HttpRuntime("test", 2);
    private final EndpointClient client = new EndpointClient(runtime.client(), Clock.systemUTC());
    private final AtomicInteger received = new AtomicInteger();
    private volatile BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> responder =
            (request, response) -> response.send();
    private final DisposableServer server = runtime.server("127.0.0.1", 0)
            .handle((request, response) -> request.receive().aggregate().then(Mono.defer(() -> {
                received.incrementAndGet();
                return Mono.from(responder.apply(request, response));
            })))
            .bindNow();

    @AfterEach
    void close() {
        server.disposeNow();
        runtime.close();
    }

    @Test
    void completeResponseToThisAttemptIsReturned() {
        responder = (request, response) -> withRequestIds(request, response).sendString(Mono.just("done"));

        CompleteResponse response = client.call(attempt(server.port())).block();

        assertThat(response).isNotNull();
        assertThat(java.util.Objects.requireNonNull(response).status()).isEqualTo(200);
    }

    @Test
    void refusedConnectionMeansNotRun() {
        server.disposeNow();

        assertThat(callFailure().verdict()).isEqualTo(Verdict.NOT_RUN);
    }

    @Test
    void connectionLostAfterWriteMeansMayHaveRunWithoutResend() {
        responder = EndpointClientTest::dropConnection;

        assertThat(callFailure().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        assertThat(received.get()).isEqualTo(1);
    }

    /** Guards against an HTTP client that silently resends a request when a pooled connection closes. */
    @Test
    void pooledConnectionLostAfterWriteMeansMayHaveRunWithoutResend() {
        responder = (request, response) -> withRequestIds(request, response).sendString(Mono.just("done"));
        client.call(attempt(server.port())).block();
        responder = EndpointClientTest::dropConnection;

        assertThat(callFailure().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        assertThat(received.get()).isEqualTo(2);
    }

    @Test
    void declineBeforeRunningMeansNotRun() {
        responder = (request, response) -> withRequestIds(request, response)
                .status(503)
                .header(HeaderNames.NOT_RUN, "true")
                .send();

        assertThat(callFailure().verdict()).isEqualTo(Verdict.NOT_RUN);
        assertThat(streamFailure().verdict()).isEqualTo(Verdict.NOT_RUN);
    }

    @Test
    void responseToAnotherRequestIsRejected() {
        responder = (request, response) -> withRequestIds(request, response)
                .header(HeaderNames.REQUEST_ID, "another")
                .sendString(Mono.just("somebody else's"));

        assertThat(callFailure().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        assertThat(streamFailure().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    @Test
    void responseToEarlierAttemptIsRejected() {
        responder = (request, response) -> withRequestIds(request, response)
                .header(HeaderNames.ATTEMPT, "0")
                .sendString(Mono.just("late"));

        assertThat(callFailure().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    @Test
    void responseShorterThanContentLengthFails() {
        responder = (request, response) -> withRequestIds(request, response)
                .header("Content-Length", "100")
                .sendString(Flux.just("short").concatWith(Flux.error(new IllegalStateException("the endpoint dies"))));

        assertThat(callFailure().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    @Test
    void streamWithoutEndMarkerFails() {
        responder =
                (request, response) -> withRequestIds(request, response).sendString(Mono.just("id: 0\ndata: {}\n\n"));

        assertThat(streamFailure().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    @Test
    void streamWithEndMarkerCompletes() {
        responder = (request, response) ->
                withRequestIds(request, response).sendString(Mono.just("id: 0\ndata: {}\n\ndata: [DONE]\n\n"));

        List<SseEvent> events =
                client.stream(attempt(server.port())).collectList().block();

        assertThat(events).hasSize(2);
    }

    @Test
    void requestPastItsDeadlineIsNotSent() {
        Attempt late = new Attempt(
                "request",
                1,
                engine(server.port()),
                "POST",
                "/x",
                "text/plain",
                new byte[] {'b'},
                PriorityClass.INTERACTIVE,
                Instant.EPOCH,
                0);

        AttemptFailure failure =
                assertThrows(AttemptFailure.class, () -> client.stream(late).blockLast());

        assertThat(failure.verdict()).isEqualTo(Verdict.NOT_RUN);
        assertThat(received.get()).isEqualTo(0);
    }

    private AttemptFailure callFailure() {
        return assertThrows(
                AttemptFailure.class, () -> client.call(attempt(server.port())).block());
    }

    private AttemptFailure streamFailure() {
        return assertThrows(
                AttemptFailure.class,
                () -> client.stream(attempt(server.port())).blockLast());
    }

    private static Publisher<Void> dropConnection(HttpServerRequest request, HttpServerResponse response) {
        response.withConnection(connection -> connection.dispose());
        return Mono.never();
    }

    private static HttpServerResponse withRequestIds(HttpServerRequest request, HttpServerResponse response) {
        return response.header(
                        HeaderNames.REQUEST_ID,
                        String.valueOf(request.requestHeaders().get(HeaderNames.REQUEST_ID)))
                .header(
                        HeaderNames.ATTEMPT,
                        String.valueOf(request.requestHeaders().get(HeaderNames.ATTEMPT)));
    }

    private static Attempt attempt(int port) {
        return new Attempt(
                "request",
                1,
                engine(port),
                "POST",
                "/x",
                "text/plain",
                new byte[] {'b'},
                PriorityClass.INTERACTIVE,
                Instant.now().plusSeconds(60),
                0);
    }

    private static Engine engine(int port) {
        return new Engine(
                "engine",
                "1",
                new DataCentre("here"),
                new Address("127.0.0.1", port),
                EndpointState.READY,
                Set.of("pool"),
                1);
    }
}
