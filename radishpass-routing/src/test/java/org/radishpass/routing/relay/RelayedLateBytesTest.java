package org.radishpass.routing.relay;

import static com.google.common.truth.Truth.assertThat;
import static org.radishpass.routing.testing.ResponseText.write;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.radishpass.routing.testing.FakeEndpoint;
import org.radishpass.routing.testing.PlainDialect;
import org.radishpass.routing.testing.TestCaller;
import org.radishpass.routing.testing.TrafficFixture;

/** Tests what callers receive when the router that relays for them gets bytes outside a response from the other one. */
final class RelayedLateBytesTest {
    private static final long TIMEOUT_MILLIS = 5_000;

    private final TrafficFixture cut = new TrafficFixture();
    private final AtomicInteger connections = new AtomicInteger();
    private volatile FakeEndpoint.@Nullable ReceivedRequest last;

    RelayedLateBytesTest() throws Exception {}

    /** The header line with the name of the current request. */
    private volatile String callName = "";

    @BeforeEach
    void loseLinks() throws Exception {
        FakeEndpoint closed = new FakeEndpoint("a", (request, out) -> request.reset());
        closed.close();
        cut.configure(TIMEOUT_MILLIS, closed);
    }

    @AfterEach
    void close() {
        cut.close();
    }

    /** Guards against the beginning of another response, on an idle connection, that turns a failure into a success. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '=',
            value = {
                "0= HTTP/1.1 200 OK",
                "0= HTTP/1.1 200 OK\\r\\nContent-Type: text/plai",
                "20= HTTP/1.1 200 OK",
                "20= HTTP/1.1 200 OK\\r\\nContent-Type: text/plai",
                "20= HTTP/1.1 200 OK\\r\\nX-Id: 1\\r\\nContent-Length: 2\\r\\n\\r\\nok",
                "20= x",
            })
    void lateBytesOfARouterAreNoPartOfTheNextResponse(long delayMillis, String escaped) throws Exception {
        String late = escaped.translateEscapes();
        try (FakeEndpoint router = router(delayMillis, late);
                TestCaller caller = cut.caller()) {
            cut.peers(
                    1,
                    TrafficFixture.router(3, router.endpoint("router").address().port()));
            for (int number = 1; number <= 7; number++) {
                String head = caller.request("GET", "/again/", Integer.toString(number), "")
                        .readUntil("\r\n\r\n");
                String body = caller.readBody(head);
                if (number > 1) { // the first request finds out that the endpoint is not reached
                    assertThat(head).startsWith(number % 2 == 1 ? "HTTP/1.1 200" : "HTTP/1.1 500");
                    assertThat(body).isEqualTo(number % 2 == 1 ? "ok" : "failed");
                }
                awaitClose(number % 2 == 1 && !late.isEmpty());
            }
        }
    }

    private void awaitClose(boolean expected) throws InterruptedException {
        FakeEndpoint.ReceivedRequest request = last;
        if (expected && request != null) {
            assertThat(request.connectionClosed.await(10, TimeUnit.SECONDS)).isTrue();
        }
    }

    /** Guards against a connection that is not reused although nothing followed its responses. */
    @Test
    void aConnectionWithoutLateBytesIsReused() throws Exception {
        lateBytesOfARouterAreNoPartOfTheNextResponse(0, "");
        assertThat(connections.get()).isEqualTo(1);
    }

    /** Returns a router that answers odd ids with 200, and late bytes behind it, and even ones with 500. */
    private FakeEndpoint router(long delayMillis, String late) throws IOException {
        AtomicInteger current = new AtomicInteger();
        return new FakeEndpoint("router", (request, out) -> {
            if (request.firstOnConnection()) {
                connections.incrementAndGet();
            }
            if (request.line().endsWith("HTTP/1.1")) {
                current.set(Integer.parseInt(request.header(PlainDialect.ID)));
                callName = RelayHeaders.CALL + ": " + request.header(RelayHeaders.CALL) + "\r\n";
                write(out, "HTTP/1.1 100 Continue\r\n" + callName + "\r\n");
            } else {
                last = request;
                answer(current.get(), callName, delayMillis, late, out); // this was the body
            }
        });
    }

    private static void answer(int number, String name, long delayMillis, String late, OutputStream out)
            throws IOException {
        if (number % 2 == 0) {
            write(out, "HTTP/1.1 500 x\r\n" + name + "X-Id: " + number + "\r\nContent-Length: 6\r\n\r\nfailed");
            return;
        }
        String whole = "HTTP/1.1 200 OK\r\n" + name + "X-Id: " + number + "\r\nContent-Length: 2\r\n\r\nok";
        if (delayMillis == 0) {
            write(out, whole + late);
            return;
        }
        write(out, whole);
        sleep(delayMillis);
        write(out, late);
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
