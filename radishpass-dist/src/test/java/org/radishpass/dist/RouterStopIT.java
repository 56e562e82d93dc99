package org.radishpass.dist;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.radishpass.standin.engine.EngineStandIn;
import reactor.core.Disposable;

/** Stops routers while requests are in progress and others arrive, and checks what the callers receive. */
final class RouterStopIT {
    /** Far more tokens than an engine generates before the end of a test. */
    private static final int ENDLESS = 20_000;

    private static final int LONG_DRAIN_SECONDS = 30;

    @TempDir
    private Path directory;

    private TestFleet fleet;
    private TestCaller caller;

    @AfterEach
    void stop() {
        fleet.close();
    }

    /** Guards against a request that a stopping router takes although its end may cut the request off. */
    @Test
    void aRequestThatMayOutliveTheRouterIsRefused() throws Exception {
        start(LONG_DRAIN_SECONDS);
        Disposable stream = caller.stream(fleet.address(0), TestCaller.chatBody("long", ENDLESS, true))
                .subscribe();
        TestFleet.await(() -> startedRequests() == 1);
        CompletableFuture<Void> stopped = stopRouter();
        TestFleet.await(() -> !fleet.status(0).path("ready").asBoolean());

        Reply late = caller.chat(fleet.address(0), TestCaller.chatBody("late", 1, false))
                .blockOptional()
                .orElseThrow();

        assertThat(late.status()).isEqualTo(503);
        assertThat(late.code()).isEqualTo("NOT_READY");
        assertThat(late.verdict()).isEqualTo("NOT_RUN");
        assertThat(startedRequests()).isEqualTo(1);
        stream.dispose();
        stopped.join();
    }

    /** Guards against connections that are closed in silence under requests which the router was still working on. */
    @Test
    void requestsInProgressAreAnsweredAtTheForcedEnd() throws Exception {
        start(0);
        CompletableFuture<Reply> whole = caller.chat(fleet.address(0), TestCaller.chatBody("whole", ENDLESS, false))
                .toFuture();
        CompletableFuture<Reply> stream = caller.chat(fleet.address(0), TestCaller.chatBody("stream", ENDLESS, true))
                .toFuture();
        TestFleet.await(() -> startedRequests() == 2);

        stopRouter().join();

        assertThat(whole.join().complete()).isTrue();
        assertThat(whole.join().status()).isAnyOf(502, 503);
        assertThat(whole.join().verdict()).isEqualTo("MAY_HAVE_RUN");
        assertThat(stream.join().body()).doesNotContain("[DONE]");
        assertThat(stream.join().body()).contains("MAY_HAVE_RUN");
    }

    private void start(int drainSeconds) throws IOException {
        fleet = new TestFleet(directory, 2, drainSeconds);
        caller = new TestCaller(fleet);
    }

    private CompletableFuture<Void> stopRouter() {
        return CompletableFuture.runAsync(() -> {
            try {
                fleet.router(0).stop();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private long startedRequests() {
        return fleet.deployment().engines().stream()
                .map(EngineStandIn::audit)
                .mapToLong(audit -> audit.counts().get("started"))
                .sum();
    }
}
