package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Queue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestReporter;
import org.radishpass.routing.testing.FakeEndpoint;
import org.radishpass.routing.testing.FakeEndpoint.ReceivedRequest;
import org.radishpass.routing.testing.GeneratedResponse;
import org.radishpass.routing.testing.GeneratedResponse.Form;
import org.radishpass.routing.testing.PlainDialect;
import org.radishpass.routing.testing.SecondResponse;
import org.radishpass.routing.testing.TestCaller;
import org.radishpass.routing.testing.ToldResponse;
import org.radishpass.routing.testing.TrafficFixture;

/**
 * Checks that each caller is told the whole response to its own request or a failure, whatever the endpoint sends a
 * second time, in whichever packets and at which moment. The system properties {@code cases} and {@code firstSeed} run
 * other cases.
 */
final class ResponseBelongsToRequestTest {
    private static final int DEFAULT_CASES = 300;
    private static final int CASES = Integer.getInteger("cases", DEFAULT_CASES);
    private static final long FIRST_SEED = Long.getLong("firstSeed", 1);
    private static final int REQUESTS = 4;

    /** Far longer than the requests take, so that a response that is waited for in vain shows as 504. */
    private static final long TIMEOUT_MILLIS = 4_000;

    private static final List<Kind> KINDS = List.of(
            new Kind("POST", "/once/", List.of(Form.LENGTH, Form.CHUNKED, Form.NO_CONTENT)),
            new Kind("GET", "/again/", List.of(Form.LENGTH, Form.CHUNKED, Form.NO_CONTENT)),
            new Kind("HEAD", "/again/", List.of(Form.BODILESS)),
            new Kind("POST", "/stream/", List.of(Form.EVENTS)));

    private final TrafficFixture fixture;
    private final List<String> faults = new ArrayList<>();
    private final Map<String, Integer> outcomes = new TreeMap<>();

    ResponseBelongsToRequestTest() throws Exception {
        fixture = new TrafficFixture();
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void eachCallerIsToldItsOwnResponseOrAFailure(TestReporter reporter) throws Exception {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + CASES; seed++) {
            new Case(seed).run();
        }
        outcomes.forEach((outcome, count) -> reporter.publishEntry(outcome, String.valueOf(count)));
        assertWithMessage("faults in %s cases; %s", CASES, outcomes)
                .that(faults)
                .isEmpty();
    }

    private static <T> T any(List<T> values, Random random) {
        return values.get(random.nextInt(values.size()));
    }

    /** When the endpoint sends the second response. */
    private enum Moment {
        /** After the first response has reached its caller, and before the next request. */
        IDLE(false),
        /** Joined to the first response. */
        JOINED(false),
        /** After the next request on the connection has reached the endpoint, before its response. */
        BESIDE(true),
        /** Joined to the response to the next request on the connection. */
        AFTER(false),
        /** Before the first response, on a new connection too. */
        BEFORE(true);

        /** Whether it arrives in front of the response to a request that is in flight. */
        private final boolean inFront;

        Moment(boolean inFront) {
            this.inFront = inFront;
        }
    }

    /** A series of requests to one endpoint, each of which is sent when the one before has been answered. */
    private final class Case {
        private final long seed;
        private final Random random;
        private final Moment moment;
        private final List<Exchange> exchanges = new ArrayList<>();
        private final Map<OutputStream, String> held = new ConcurrentHashMap<>();
        private final Queue<Late> late = new ConcurrentLinkedQueue<>();

        Case(long seed) {
            this.seed = seed;
            this.random = new Random(seed);
            this.moment = any(List.of(Moment.values()), random);
            int firstSuccess = random.nextInt(2);
            for (int number = 0; number < REQUESTS; number++) {
                exchanges.add(new Exchange(seed, number, number % 2 == firstSuccess, moment, random));
            }
        }

        void run() throws Exception {
            try (FakeEndpoint endpoint = new FakeEndpoint("e-" + seed, this::respond)) {
                fixture.configure(TIMEOUT_MILLIS, endpoint);
                for (Exchange exchange : exchanges) {
                    record(exchange, told(exchange));
                    sendLate();
                }
            }
        }

        /** Sends what is due now, once the endpoint has written all that it writes by itself. */
        private synchronized void sendLate() {
            for (Late next = late.poll(); next != null; next = late.poll()) {
                write(next.out(), next.text());
            }
        }

        private ToldResponse told(Exchange exchange) throws IOException {
            try (TestCaller caller = fixture.caller()) {
                String head = exchange.method + " " + exchange.path + "?" + exchange.id
                        + " HTTP/1.1\r\nHost: api\r\nConnection: close\r\n" + PlainDialect.ID + ": " + exchange.id
                        + "\r\nContent-Length: 0\r\n\r\n";
                return ToldResponse.parse(caller.send(head).readAll(), exchange.bodiless());
            }
        }

        private synchronized void respond(ReceivedRequest request, OutputStream out) {
            int number = Integer.parseInt(request.header(PlainDialect.ID).replaceAll(".*-", ""));
            Exchange exchange = exchanges.get(number);
            String own = exchange.response.text();
            String earlier = Objects.requireNonNullElse(held.remove(out), "");
            switch (moment) {
                case IDLE -> late.add(new Late(out, exchange.secondText));
                case JOINED -> own += exchange.secondText;
                case BESIDE -> own = earlier + own;
                case AFTER -> own += earlier;
                case BEFORE -> own = number == 0 ? own : exchanges.get(number - 1).secondText + own;
            }
            if (moment == Moment.BESIDE || moment == Moment.AFTER) {
                held.put(out, exchange.secondText);
            }
            write(out, own);
        }

        private void write(OutputStream out, String text) {
            byte[] bytes = GeneratedResponse.bytes(text);
            int packets = random.nextInt(4);
            try {
                int position = 0;
                for (int packet = 0; packet < packets && position < bytes.length; packet++) {
                    int length = 1 + random.nextInt(bytes.length - position);
                    out.write(bytes, position, length);
                    position += length;
                }
                out.write(bytes, position, bytes.length - position);
            } catch (IOException e) {
                // the router has closed the connection
            }
        }

        private void record(Exchange exchange, ToldResponse told) {
            @Nullable Exchange before = exchange.number == 0 ? null : exchanges.get(exchange.number - 1);
            String description = moment + " " + (before == null ? SecondResponse.NONE : before.second);
            String verdict = exchange.verdict(told);
            boolean owed = !moment.inFront || before == null || before.skippableBefore(exchange);
            outcomes.merge(moment + (verdict.matches("own|failed") ? " " + verdict : " wrong"), 1, Integer::sum);
            if (!verdict.equals("own") && (owed || !verdict.equals("failed"))) {
                faults.add("seed " + seed + " request " + exchange.number + " after " + description + ": " + verdict);
            }
        }
    }

    /** Bytes that are sent when the caller has its response. */
    private record Late(OutputStream out, String text) {}

    /** A request, its response, and what the endpoint sends a second time. */
    private static final class Exchange {
        private final int number;
        private final String id;
        private final String method;
        private final String path;
        private final GeneratedResponse response;
        private final SecondResponse second;
        private final String secondText;

        Exchange(long seed, int number, boolean success, Moment moment, Random random) {
            this.number = number;
            this.id = "r" + seed + "-" + number;
            Kind kind = any(KINDS, random);
            this.method = kind.method();
            this.path = kind.path();
            List<Form> forms = success ? kind.successes() : kind.failures();
            Form form = any(forms, random);
            this.response = new GeneratedResponse(random, id, status(success, form, random), form);
            SecondResponse any = any(List.of(SecondResponse.values()), random);
            // a failure without id on a new connection is taken for the response to the request
            boolean ambiguous = moment == Moment.BEFORE && any == SecondResponse.WITHOUT_ID;
            this.second = ambiguous ? SecondResponse.CUT : any;
            this.secondText =
                    second.text(response, moment.inFront ? "stranger" : "r" + seed + "-" + (number + 1), random);
        }

        private static int status(boolean success, Form form, Random random) {
            if (success && form == Form.NO_CONTENT) {
                return 204;
            }
            return success ? 200 : any(List.of(500, 404, 409), random);
        }

        boolean bodiless() {
            return response.body().isEmpty();
        }

        /** Tells whether the router can skip the second response, by its id, before the response to another request. */
        boolean skippableBefore(Exchange next) {
            boolean sameFraming = !method.equals("HEAD") && !next.method.equals("HEAD");
            return second.skippable() && !response.holdsStatusLine() && sameFraming;
        }

        /** Returns "own", "failed", or what is wrong with what the caller was told. */
        String verdict(ToldResponse told) {
            if (told.status() == response.status()
                    && told.whole()
                    && told.header(GeneratedResponse.TOKEN).equals(response.token())
                    && told.body().equals(response.body())) {
                return "own";
            }
            boolean failure = (told.status() == 502 || told.status() == 503) && told.whole();
            return failure && !told.text().contains("token-")
                    ? "failed"
                    : response + " told as " + told.status() + " " + told.header(GeneratedResponse.TOKEN)
                            + (told.whole() ? "" : ", broken off");
        }
    }

    /** A kind of request, and what its successful responses look like. */
    private record Kind(String method, String path, List<Form> successes) {
        List<Form> failures() {
            return method.equals("HEAD") ? successes : List.of(Form.LENGTH, Form.CHUNKED);
        }
    }
}
