package org.radishpass.router.internal.endpoint;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.radishpass.core.admission.PriorityClass;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.fleet.EndpointState;
import org.radishpass.core.fleet.Engine;
import org.radishpass.core.outcome.Verdict;
import org.radishpass.runtime.http.HttpRuntime;
import reactor.core.publisher.Mono;

/**
 * Checks that a response which breaks off within its head fails, wherever it breaks off. Guards against an empty or short
 * success for a head of which only a part has arrived. The system property {@code radishpass.test.allHeads} makes each cut of
 * streams too.
 */
final class TruncatedHeadTest {
    private static final boolean ALL_CUTS = Boolean.getBoolean("radishpass.test.allHeads");

    /** The distance of the cuts of streams if not all are made. */
    private static final int STREAM_STEP = 4;

    private static final String WARM = "/warm";

    private final HttpRuntime runtime = new HttpRuntime("test", 2);
    private final EndpointClient client = new EndpointClient(runtime.client(), Clock.systemUTC());
    private final ServerSocket server;
    private volatile String part = "";
    private volatile boolean reset;

    TruncatedHeadTest() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread accepting = new Thread(this::accept, "endpoint");
        accepting.setDaemon(true);
        accepting.start();
    }

    @AfterEach
    void close() throws IOException {
        server.close();
        runtime.close();
    }

    @ParameterizedTest
    @CsvSource({
        "Content-Length: 5, false, false",
        "Content-Length: 5, true, false",
        "Content-Length: 5, false, true",
        "Content-Length: 5, true, true",
        "Transfer-Encoding: chunked, false, false",
        "Transfer-Encoding: chunked, true, true",
        "X-No-Length: 1, false, false",
        "X-No-Length: 1, true, true",
    })
    void aHeadThatBreaksOffIsNoResponse(String framing, boolean reset, boolean reused) {
        this.reset = reset;
        String head = head(framing);
        for (int cut = 0; cut < head.length(); cut++) {
            part = head.substring(0, cut);
            for (boolean stream : ALL_CUTS || cut % STREAM_STEP == 0 ? List.of(false, true) : List.of(false)) {
                if (reused) {
                    client.call(attempt(WARM)).block();
                }
                assertWithMessage("%s of %s, stream %s", cut, head.length(), stream)
                        .that(verdict(stream))
                        .isEqualTo(Verdict.MAY_HAVE_RUN);
            }
        }
    }

    /** Returns the verdict of an attempt, which would be that of a success if it did not fail. */
    private Verdict verdict(boolean stream) {
        Attempt attempt = attempt("/x");
        Mono<Verdict> exchange = stream
                ? client.stream(attempt).then(Mono.just(Verdict.RAN))
                : client.call(attempt).thenReturn(Verdict.RAN);
        return java.util.Objects.requireNonNull(
                exchange.onErrorResume(AttemptFailure.class, failure -> Mono.just(failure.verdict()))
                        .block());
    }

    private static String head(String framing) {
        return "HTTP/1.1 200 OK\r\n" + HeaderNames.REQUEST_ID + ": request\r\n" + HeaderNames.ATTEMPT + ": 1\r\n"
                + framing + "\r\n\r\n";
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                Thread serving = new Thread(() -> serve(socket), "endpoint");
                serving.setDaemon(true);
                serving.start();
            }
        } catch (IOException e) {
            // the test has closed the server socket
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            while (true) {
                StringBuilder request = new StringBuilder();
                while (request.indexOf("\r\n\r\nb") < 0) {
                    int read = in.read();
                    if (read < 0) {
                        return;
                    }
                    request.append((char) read);
                }
                boolean warm = request.indexOf(" " + WARM + " ") > 0;
                String response = warm ? head("Content-Length: 2") + "ok" : part;
                socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                if (!warm) {
                    socket.setSoLinger(reset, 0);
                    return;
                }
            }
        } catch (IOException e) {
            // the client has closed the connection
        }
    }

    private Attempt attempt(String path) {
        Engine engine = new Engine(
                "engine",
                "1",
                new DataCentre("here"),
                new Address("127.0.0.1", server.getLocalPort()),
                EndpointState.READY,
                Set.of("pool"),
                1);
        return new Attempt(
                "request",
                1,
                engine,
                "POST",
                path,
                "text/plain",
                new byte[] {'b'},
                PriorityClass.INTERACTIVE,
                Instant.now().plusSeconds(60),
                0);
    }
}
