package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.radishpass.routing.testing.ResponseText.whole;
import static org.radishpass.routing.testing.ResponseText.write;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.testing.FakeEndpoint;
import org.radishpass.routing.testing.FakeEndpoint.ReceivedRequest;
import org.radishpass.routing.testing.PlainDialect;
import org.radishpass.routing.testing.TestCaller;
import org.radishpass.routing.testing.TrafficFixture;

/**
 * Checks that a response which breaks off within its head is told as a failure at once, wherever it breaks off, directly and
 * through another router: 502, while the end of a wait would be 504. Guards against an empty or short success, framed as whole, for a head of which only a part has
 * arrived. The system property {@code radishpass.test.allHeads} runs each cut in each variant, instead of a few cuts in each
 * and each cut in a few.
 */
final class TruncatedHeadTest {
    private static final long TIMEOUT_MILLIS = 20_000;
    private static final boolean ALL_CUTS = Boolean.getBoolean("radishpass.test.allHeads");

    /** The distance of the cuts in a variant if not all are made; it divides neither the length of a head nor of a line. */
    private static final int STEP = 13;

    private static final String WARM = "warm";
    private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

    private final TrafficFixture near;
    private final TrafficFixture far;
    private int exchanges;

    TruncatedHeadTest() throws Exception {
        near = new TrafficFixture().attempts(1);
        far = new TrafficFixture().attempts(1);
    }

    @AfterEach
    void close() {
        near.close();
        far.close();
    }

    /**
     * The way in which a response breaks off.
     *
     * @param path the route, which decides on the kind of the request
     * @param framing the header that tells how the body is framed
     * @param reset whether the connection is reset instead of closed in order
     * @param reused whether the connection has carried a whole response before
     */
    private record Variant(String path, String framing, boolean reset, boolean reused) {
        private String head(String id) {
            return "HTTP/1.1 200 OK\r\nDate: x\r\n" + PlainDialect.ID + ": " + id + "\r\n" + framing + "\r\n\r\n";
        }

        private void respond(ReceivedRequest request, OutputStream out, int cut) throws IOException {
            String id = request.header(PlainDialect.ID);
            if (id.startsWith(WARM)) {
                write(out, whole(request, 200, "ok"));
                return;
            }
            write(out, head(id).substring(0, cut));
            if (reset) {
                request.reset();
            } else {
                request.close();
            }
        }

        private List<Integer> cuts(int offset) {
            List<Integer> cuts = new ArrayList<>();
            int length = head("7").length();
            boolean each = ALL_CUTS || (path.equals("/once/") && !reset && framing.startsWith("Content-Length"));
            for (int cut = each ? 0 : offset % STEP; cut < length; cut += each ? 1 : STEP) {
                cuts.add(cut);
            }
            return cuts;
        }
    }

    private static List<Variant> variants(String... paths) {
        List<Variant> variants = new ArrayList<>();
        for (String path : paths) {
            for (String framing : List.of("Content-Length: 5", "Transfer-Encoding: chunked", "X-No-Length: 1")) {
                for (boolean reset : new boolean[] {false, true}) {
                    variants.add(new Variant(path, framing, reset, false));
                    variants.add(new Variant(path, framing, reset, true));
                }
            }
        }
        return variants;
    }

    @Test
    void aHeadThatBreaksOffIsNoSuccess() throws Exception {
        int number = 0;
        for (Variant variant : variants("/once/", "/again/", "/stream/", "/resume/")) {
            for (int cut : variant.cuts(number++)) {
                try (FakeEndpoint endpoint = endpoint(variant, cut)) {
                    near.configure(TIMEOUT_MILLIS, endpoint);
                    assertFailure(variant, cut, endpoint);
                }
            }
        }
    }

    @Test
    void aHeadThatBreaksOffBehindAnotherRouterIsNoSuccess() throws Exception {
        FleetRouter relay = far.serveRelayed(2);
        far.peers(2, TrafficFixture.router(1, FleetRouter.NO_RELAY));
        loseLinks(relay);
        int number = 0;
        for (Variant variant : variants("/once/", "/stream/")) {
            for (int cut : variant.cuts(number++)) {
                try (FakeEndpoint endpoint = endpoint(variant, cut)) {
                    far.configure(TIMEOUT_MILLIS, endpoint);
                    assertFailure(variant, cut, endpoint);
                }
            }
        }
    }

    @Test
    void aHeadOfAnotherRouterThatBreaksOffIsNoSuccess() throws Exception {
        loseLinks();
        int number = 0;
        for (Variant variant : variants("/once/", "/stream/")) {
            if (variant.reused()) {
                continue;
            }
            for (int cut : variant.cuts(number++)) {
                try (FakeEndpoint router = new FakeEndpoint("router", (request, out) -> {
                    write(out, CONTINUE);
                    variant.respond(request, out, cut);
                })) {
                    int port = router.endpoint("x").address().port();
                    near.peers(1, TrafficFixture.router(3 + exchanges, port));
                    assertFailure(variant, cut, router);
                }
            }
        }
    }

    /** Takes the links of the near router to its endpoint, so that it relays requests. */
    private void loseLinks(FleetRouter... relays) throws Exception {
        FakeEndpoint closed = new FakeEndpoint("closed", (request, out) -> request.reset());
        closed.close();
        near.configure(TIMEOUT_MILLIS, closed).peers(1, relays);
        try (TestCaller caller = near.caller()) {
            // the first request finds out that the endpoint is not reached
            caller.request("GET", "/again/", "first", "").readUntil("\r\n\r\n");
        }
    }

    /** Returns an endpoint of its own for each exchange, since one that failed before may be sent nothing. */
    private FakeEndpoint endpoint(Variant variant, int cut) throws IOException {
        exchanges++;
        return new FakeEndpoint("e-" + exchanges, (request, out) -> variant.respond(request, out, cut));
    }

    private void assertFailure(Variant variant, int cut, FakeEndpoint endpoint) throws Exception {
        exchanges++;
        String path = variant.path() + "?" + exchanges;
        try (TestCaller caller = near.caller()) {
            if (variant.reused()) {
                assertThat(caller.request("GET", "/again/?w" + exchanges, WARM + exchanges, "")
                                .readUntil("\r\n\r\nok"))
                        .startsWith("HTTP/1.1 200");
                endpoint.nextRequest();
            }
            String response = caller.request("POST", path, "7", "x").readUntil("\r\n\r\n");
            assertWithMessage("%s, cut at %s", variant, cut).that(response).startsWith("HTTP/1.1 502");
            ReceivedRequest received = endpoint.nextRequest();
            assertThat(received.firstOnConnection()).isEqualTo(!variant.reused());
        }
    }
}
