package org.radishpass.routing.traffic;

import static com.google.common.truth.Truth.assertWithMessage;
import static org.radishpass.routing.testing.ResponseText.write;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.radishpass.routing.testing.FakeEndpoint;
import org.radishpass.routing.testing.FakeEndpoint.ReceivedRequest;
import org.radishpass.routing.testing.PlainDialect;
import org.radishpass.routing.testing.TestCaller;
import org.radishpass.routing.testing.TrafficFixture;

/** Checks that the beginning of an unsolicited response does not become part of the response to the next request. */
final class LateResponseTest {
    /** Far longer than the requests take, so that a response that is waited for in vain shows as 504. */
    private static final long TIMEOUT_MILLIS = 4_000;

    /** The beginnings of a success that end inside the reason phrase, or inside a value before the id. */
    private static final List<String> CUTS = List.of(
            "HTTP/1.1 200 ",
            "HTTP/1.1 200 O",
            "HTTP/1.1 200 OK",
            "HTTP/1.1 200 OK\r\nContent-Type:",
            "HTTP/1.1 200 OK\r\nContent-Type: t",
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain",
            "HTTP/1.1 200 OK\r\nServer: a\r\nContent-Type: text/plai");

    private final TrafficFixture fixture;
    private final List<String> answers = new ArrayList<>();
    private int endpoints;

    LateResponseTest() throws Exception {
        fixture = new TrafficFixture();
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    /** Guards against a failure that its caller is told as a success, since a late response was cut inside its head. */
    @Test
    void aTruncatedLateResponseDoesNotTurnAFailureIntoASuccess() throws Exception {
        for (Moment moment : Moment.values()) {
            for (String cut : CUTS) {
                for (String path : List.of("/once/", "/again/")) {
                    answers.add(moment + " " + path + " " + failureAfterSuccess(moment, path, cut));
                }
            }
        }
        checkAnswers();
    }

    /** Guards against a failure that its caller is told as a success, since the response began twice. */
    @Test
    void aResponseThatBeginsTwiceIsNoSuccess() throws Exception {
        for (String cut : CUTS) {
            for (String path : List.of("/once/", "/again/")) {
                endpoints++;
                try (FakeEndpoint endpoint =
                        new FakeEndpoint("e-" + endpoints, (request, out) -> write(out, cut + failure(request)))) {
                    fixture.configure(TIMEOUT_MILLIS, endpoint);
                    answers.add(path + " " + status(path, "failing"));
                }
            }
        }
        checkAnswers();
    }

    /** Returns the status told for a request that the endpoint answers with 500, after another that it answers with 200. */
    private String failureAfterSuccess(Moment moment, String path, String cut) throws Exception {
        endpoints++;
        CountDownLatch received = new CountDownLatch(moment == Moment.IDLE ? 1 : 0);
        CountDownLatch sent = new CountDownLatch(1);
        try (FakeEndpoint endpoint = new FakeEndpoint("e-" + endpoints, (request, out) -> {
            if (request.line().contains("failing")) {
                write(out, (moment == Moment.BESIDE ? cut : "") + failure(request));
                return;
            }
            write(out, success(request) + (moment == Moment.JOINED ? cut : ""));
            await(received);
            write(out, moment == Moment.IDLE ? cut : "");
            sent.countDown();
        })) {
            fixture.configure(TIMEOUT_MILLIS, endpoint);
            assertWithMessage("the request before")
                    .that(status(path, "succeeding"))
                    .isEqualTo("200");
            received.countDown();
            await(sent); // flushed bytes are in the router's socket from here on
            return status(path, "failing");
        }
    }

    private String status(String path, String name) throws IOException {
        try (TestCaller caller = fixture.caller()) {
            String head = caller.request("POST", path + name + "?" + endpoints, name + endpoints, "x")
                    .readUntil("\r\n\r\n");
            return head.split(" ", -1)[1];
        }
    }

    private void checkAnswers() {
        List<String> successes =
                answers.stream().filter(answer -> answer.endsWith(" 200")).toList();
        assertWithMessage("successes told among %s failures", answers.size())
                .that(successes)
                .isEmpty();
        assertWithMessage("answers that are no prompt failure")
                .that(answers.stream()
                        .filter(answer -> !answer.matches(".* 50[023]"))
                        .toList())
                .isEmpty();
    }

    private static String success(ReceivedRequest request) {
        return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + rest(request);
    }

    private static String failure(ReceivedRequest request) {
        return "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n" + rest(request);
    }

    private static String rest(ReceivedRequest request) {
        return PlainDialect.ID + ": " + request.header(PlainDialect.ID) + "\r\nContent-Length: 2\r\n\r\nxy";
    }

    private static void await(CountDownLatch latch) {
        try {
            assertWithMessage("awaited in time")
                    .that(latch.await(20, TimeUnit.SECONDS))
                    .isTrue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** When the beginning of the second response is sent. */
    private enum Moment {
        /** After the first response has reached its caller, and before the next request. */
        IDLE,
        /** In one write with the first response. */
        JOINED,
        /** After the next request has reached the endpoint. */
        BESIDE
    }
}
