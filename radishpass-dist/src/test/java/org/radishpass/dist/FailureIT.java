package org.radishpass.dist;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.radishpass.records.RecordDocument;
import org.radishpass.records.schema.RecordKind;
import org.radishpass.records.schema.SchemaVersion;
import org.radishpass.standin.engine.EngineFaults;
import org.radishpass.standin.engine.EngineStandIn;
import org.radishpass.standin.platform.TableFaults;
import reactor.core.Disposable;

/** Injects failures of engines, routers, callers and the store, and checks the guarantees that callers rely on. */
final class FailureIT {
    private static final EngineFaults ENGINE_DOWN = new EngineFaults(0, 0, false, true, false);

    @TempDir
    private Path directory;

    private TestFleet fleet;
    private TestCaller caller;

    @BeforeEach
    void start() throws IOException {
        fleet = new TestFleet(directory, 2);
        caller = new TestCaller(fleet);
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void aStreamWhoseEngineFailsResumesWithoutALostOrDoubledToken() {
        CompletableFuture<Reply> reply = caller.chat(fleet.address(0), TestCaller.chatBody("resume", 60, true))
                .toFuture();
        TestFleet.await(() -> busyEngine().isPresent());
        EngineStandIn serving = busyEngine().orElseThrow();
        TestFleet.await(() -> serving.running() > 0);
        waitForTokensAndPolls();
        serving.faults(ENGINE_DOWN);

        Reply received = reply.join();

        assertThat(received.complete()).isTrue();
        assertThat(TestCaller.streamedText(received.body())).isEqualTo(TestCaller.expectedText("resume", 60));
        assertThat(received.body()).endsWith("data: [DONE]\n\n");
    }

    @Test
    void streamsThatAreCutByTheirEngineAreResumed() {
        fleet.deployment().engines().forEach(engine -> engine.faults(new EngineFaults(0, 0.4, false, false, false)));
        int whole = 0;
        for (int i = 0; i < 8; i++) {
            Reply reply = await(caller.chat(fleet.address(i % 2), TestCaller.chatBody("cut" + i, 10, true)));
            if (reply.complete()) {
                whole++;
                assertThat(TestCaller.streamedText(reply.body())).isEqualTo(TestCaller.expectedText("cut" + i, 10));
            } else {
                assertThat(reply.body()).contains("event: error");
                assertThat(reply.body()).doesNotContain("[DONE]");
            }
        }

        assertThat(whole).isGreaterThan(0);
    }

    @Test
    void anAnswerToAnotherRequestIsNotPassedOn() {
        fleet.deployment().engines().forEach(engine -> engine.faults(new EngineFaults(1, 0, false, false, false)));

        Reply reply = await(caller.chat(fleet.address(0), TestCaller.chatBody("crossed", 5, true)));

        assertThat(reply.status()).isEqualTo(502);
        assertThat(reply.verdict()).isEqualTo("MAY_HAVE_RUN");
        assertThat(reply.body()).doesNotContain("crossed-");
    }

    @Test
    void theEngineCancelsTheWorkOfACallerThatDisconnects() {
        Disposable stream = caller.stream(fleet.address(0), TestCaller.chatBody("gone", 2_000, true))
                .subscribe();
        TestFleet.await(() -> busyEngine().isPresent());

        stream.dispose();

        TestFleet.await(() -> busyEngine().isEmpty());
        long cancelled = fleet.deployment().engines().stream()
                .mapToLong(engine -> engine.audit().counts().get("cancelled"))
                .sum();
        assertThat(cancelled).isEqualTo(1);
    }

    @Test
    void aLeavingEngineGetsNoNewRequestsAndFinishesRunningOnes() {
        CompletableFuture<Reply> reply = caller.chat(fleet.address(0), TestCaller.chatBody("leaving", 100, true))
                .toFuture();
        TestFleet.await(() -> busyEngine().isPresent());
        EngineStandIn serving = busyEngine().orElseThrow();
        fleet.deployment().vms().leaving(serving.id(), true);
        TestFleet.await(() -> endpointState(0, serving.id()).equals("LEAVING")
                && endpointState(1, serving.id()).equals("LEAVING"));
        long before = serving.audit().counts().get("started");

        for (int i = 0; i < 20; i++) {
            await(caller.chat(fleet.address(i % 2), TestCaller.chatBody("other" + i, 1, true)));
        }

        assertThat(serving.audit().counts().get("started")).isEqualTo(before);
        assertThat(TestCaller.streamedText(reply.join().body())).isEqualTo(TestCaller.expectedText("leaving", 100));
    }

    @Test
    void aRouterThatStopsFinishesItsStreams() throws InterruptedException {
        CompletableFuture<Reply> reply = caller.chat(fleet.address(0), TestCaller.chatBody("stopping", 60, true))
                .toFuture();
        TestFleet.await(() -> busyEngine().isPresent());

        fleet.router(0).stop();

        assertThat(reply.join().complete()).isTrue();
        assertThat(TestCaller.streamedText(reply.join().body())).isEqualTo(TestCaller.expectedText("stopping", 60));
    }

    @Test
    void aConfigurationChangeReachesEveryRouterAndOutlastsAStoreOutage() {
        long revision = fleet.status(0).path("revision").asLong();
        fleet.applyRecords(List.of(new RecordDocument(
                SchemaVersion.V2,
                RecordKind.MODEL,
                "another",
                JsonNodeFactory.instance.objectNode().put("version", "1"),
                "test")));
        TestFleet.await(() -> fleet.status(0).path("revision").asLong() == revision + 1
                && fleet.status(1).path("revision").asLong() == revision + 1);

        fleet.deployment().table().faults(new TableFaults(true, 0, 0));
        waitForTokensAndPolls();

        assertThat(fleet.status(0).path("revision").asLong()).isEqualTo(revision + 1);
        assertThat(fleet.status(0).path("ready").asBoolean()).isTrue();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{} | 400 | BAD_REQUEST",
                "not json | 400 | BAD_REQUEST",
                "{\"model\":\"atlas\"} | 400 | BAD_REQUEST",
                "{\"model\":\"none\",\"messages\":[{}]} | 404 | NOT_FOUND",
            })
    void aMalformedRequestGetsAClearErrorAndDidNotRun(String body, int status, String code) {
        Reply reply = await(caller.chat(fleet.address(0), body));

        assertThat(reply.status()).isEqualTo(status);
        assertThat(reply.code()).isEqualTo(code);
        assertThat(reply.verdict()).isEqualTo("NOT_RUN");
    }

    @Test
    void anUnknownKeyIsRefused() {
        Reply reply = await(caller.post(
                fleet.address(0) + "/v1/chat/completions", "unknown", TestCaller.chatBody("x", 1, true), null));

        assertThat(reply.code()).isEqualTo("UNAUTHORIZED");
    }

    private java.util.Optional<EngineStandIn> busyEngine() {
        return fleet.deployment().engines().stream()
                .filter(engine -> engine.running() > 0)
                .findFirst();
    }

    private String endpointState(int router, String endpoint) {
        String state = "";
        for (JsonNode candidate : fleet.status(router).path("endpoints")) {
            if (candidate.path("id").asText().equals(endpoint)) {
                state = candidate.path("state").asText();
            }
        }
        return state;
    }

    private static Reply await(reactor.core.publisher.Mono<Reply> reply) {
        return reply.blockOptional().orElseThrow();
    }

    /** Waits 300 ms, in which an engine generates several tokens and routers poll the store at least once. */
    private static void waitForTokensAndPolls() {
        reactor.core.publisher.Mono.delay(java.time.Duration.ofMillis(300)).block();
    }
}
