package org.radishpass.routing.relay;

import static com.google.common.truth.Truth.assertThat;
import static org.radishpass.routing.testing.ResponseText.write;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.testing.FakeEndpoint;
import org.radishpass.routing.testing.PlainDialect;
import org.radishpass.routing.testing.TestCaller;
import org.radishpass.routing.testing.TrafficFixture;

/** Tests that a response of another router is taken only for the request that it answers. */
final class RelayedLateResponseTest {
    private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";
    private static final String FIRST = "first";
    private static final int PAUSE_MILLIS = 50;

    private final TrafficFixture cut = new TrafficFixture();
    private final FakeEndpoint closed = new FakeEndpoint("a", (request, out) -> request.reset());
    private String openHead = "";
    private String openId = "";
    private String late = "";
    private boolean reused;

    RelayedLateResponseTest() throws Exception {}

    /** When the second response to a request is sent. */
    private enum Moment {
        /** In one write with the first one. */
        JOINED,
        /** While the connection is idle. */
        IDLE,
        /** After the head of the next request on the connection. */
        BEFORE_CONTINUE,
        /** After the body of the next request. */
        BEFORE_RESPONSE
    }

    @BeforeEach
    void loseLinks() throws Exception {
        closed.close();
        cut.configure(20_000, closed);
        try (TestCaller caller = cut.caller()) {
            // the first request finds out that the endpoint is not reached
            caller.request("GET", "/again/", "0", "").readUntil("\r\n\r\n");
        }
    }

    @AfterEach
    void close() {
        cut.close();
    }

    /** Guards against a caller who is told the success of another caller's request. */
    @ParameterizedTest
    @EnumSource(Moment.class)
    void aResponseThatComesTwiceIsNotTheNextOnes(Moment moment) throws Exception {
        try (FakeEndpoint router = new FakeEndpoint("router", (request, out) -> relay(request, out, moment, true))) {
            relayTo(router);
            assertThat(relayed(FIRST)).startsWith("HTTP/1.1 200");
            for (int number = 0; number < 4; number++) {
                String response = relayed("failing" + number);
                assertThat(response).startsWith("HTTP/1.1 50");
                assertThat(response).doesNotContain("Radishpass-Relay");
            }
        }
    }

    /** Guards against the same at a router of an earlier release, whose responses do not name their request. */
    @ParameterizedTest
    @EnumSource(Moment.class)
    void aResponseOfAnEarlierReleaseIsTheOnlyOneOnItsConnection(Moment moment) throws Exception {
        try (FakeEndpoint router = new FakeEndpoint("router", (request, out) -> relay(request, out, moment, false))) {
            relayTo(router);
            assertThat(relayed(FIRST)).startsWith("HTTP/1.1 200");
            assertThat(relayed("failing")).startsWith("HTTP/1.1 500");
            assertThat(relayed(FIRST)).startsWith("HTTP/1.1 200");
        }
    }

    /** Guards against a caller who receives the name that the two routers use between them. */
    @Test
    void theNameOfARelayedRequestStaysBetweenTheRouters() throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint(
                        "b", (request, out) -> write(out, response("200 OK", request.header(PlainDialect.ID), "")));
                TrafficFixture whole = new TrafficFixture()) {
            FleetRouter router = whole.serveRelayed(2);
            whole.configure(20_000, endpoint).peers(2, TrafficFixture.router(1, FleetRouter.NO_RELAY));
            cut.peers(1, router);
            for (int number = 0; number < 5; number++) {
                try (TestCaller caller = cut.caller()) {
                    String response =
                            caller.request("POST", "/once/", "r" + number, "x").readUntil("\r\n\r\n");
                    assertThat(response).startsWith("HTTP/1.1 200");
                    assertThat(response).doesNotContain("Radishpass-Relay");
                }
            }
        }
    }

    /** Guards against a relaying router that takes a request for the next one before it has answered the last. */
    @Test
    void aRequestBeforeTheResponseToTheLastOneClosesTheConnection() throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint("b", (request, out) -> out.flush());
                TrafficFixture whole = new TrafficFixture();
                TestCaller sender = new TestCaller(whole.serveRelayed(2).relayPort())) {
            whole.configure(20_000, endpoint).peers(2, TrafficFixture.router(1, FleetRouter.NO_RELAY));
            sender.send(relayedHead("1") + "\r\n");
            endpoint.nextRequest();
            sender.send(relayedHead("2") + "\r\n");
            assertThat(sender.readAll()).doesNotContain("HTTP/1.1 ");
            assertThat(endpoint.pendingRequests()).isEqualTo(0);
        }
    }

    /** Guards against the body of a rejected request, which is not read, being taken for a request. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 400", "Transfer-Encoding: chunked"})
    void theBodyOfARejectedRequestIsNoRequest(String framing) throws Exception {
        try (FakeEndpoint endpoint = new FakeEndpoint(
                        "b", (request, out) -> write(out, response("200 OK", request.header(PlainDialect.ID), "")));
                TrafficFixture whole = new TrafficFixture();
                TestCaller sender = new TestCaller(whole.serveRelayed(2).relayPort())) {
            whole.configure(20_000, endpoint).peers(2, TrafficFixture.router(1, FleetRouter.NO_RELAY));
            sender.send("POST /once/ HTTP/1.1\r\nHost: api\r\nRadishpass-Relay-Call: 1\r\n" + framing + "\r\n\r\n"
                    + relayedHead("2") + "\r\n");
            String response = sender.readAll();
            assertThat(response).startsWith("HTTP/1.1 400");
            assertThat(response).contains("Radishpass-Relay-Call: 1");
            assertThat(response.indexOf("HTTP/1.1 ", 1)).isEqualTo(-1);
            assertThat(endpoint.pendingRequests()).isEqualTo(0);
        }
    }

    private static String relayedHead(String call) {
        return String.join(
                "\r\n",
                "GET /again/ HTTP/1.1",
                "Host: api",
                "X-Id: " + call,
                "Radishpass-Relay-Call: " + call,
                "Radishpass-Relay-Sender: 127.0.0.1:1",
                "Radishpass-Relay-Configuration: 1",
                "Radishpass-Relay-Remaining-Ms: 9000",
                "Radishpass-Relay-Attempts: 1",
                "Radishpass-Relay-Body-Bytes: 0",
                "");
    }

    private void relayTo(FakeEndpoint router) {
        cut.peers(
                1, TrafficFixture.router(3, router.endpoint("router").address().port()));
    }

    private String relayed(String id) throws Exception {
        try (TestCaller caller = cut.caller()) {
            return caller.request("POST", "/once/", id, "x").readUntil("\r\n\r\n");
        }
    }

    /** Relays as another router does; the fake reads the chunks of a body as another head. */
    private synchronized void relay(
            FakeEndpoint.ReceivedRequest request, OutputStream out, Moment moment, boolean named) throws IOException {
        if (request.line().startsWith("POST")) {
            openId = request.header(PlainDialect.ID);
            reused = !request.firstOnConnection();
            openHead = named ? "Radishpass-Relay-Call: " + request.header("Radishpass-Relay-Call") + "\r\n" : "";
            sendLate(out, reused && moment == Moment.BEFORE_CONTINUE);
            write(out, CONTINUE);
            return;
        }
        sendLate(out, reused && moment == Moment.BEFORE_RESPONSE);
        String own = response(openId.equals(FIRST) ? "200 OK" : "500 Internal Server Error", openId, openHead);
        if (!openId.equals(FIRST)) {
            write(out, own);
            return;
        }
        write(out, moment == Moment.JOINED ? own + own : own);
        late = own;
        pause();
        sendLate(out, moment == Moment.IDLE);
        pause();
    }

    private void sendLate(OutputStream out, boolean now) throws IOException {
        if (now) {
            String response = late;
            late = "";
            write(out, response);
        }
    }

    private static String response(String status, String id, String headers) {
        return "HTTP/1.1 " + status + "\r\n" + PlainDialect.ID + ": " + id + "\r\n" + headers
                + "Content-Length: 0\r\n\r\n";
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
