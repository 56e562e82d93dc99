package org.radishpass.simulation;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.radishpass.routing.config.RequestKind;

/** Checks the models of engines and plain endpoints against times and token counts that are calculated by hand. */
final class SimulatedEngineTest {
    private static final EngineSettings ENGINE = new EngineSettings(2, 10_000, 4, 0, 1, 100, 1_000);
    private static final RequestClass CHAT =
            new RequestClass("chat", "e", RequestKind.STREAM, 1, 1, 1, 1, 1, 500, 0, 100, 5, 0);

    private final Timeline timeline = new Timeline();
    private final CacheCounts cacheCounts = new CacheCounts();
    private final Set<Long> everReadParts = new HashSet<>();
    private final List<String> events = new ArrayList<>();

    @Test
    void readsThePromptThenGeneratesOneTokenPerStep() {
        engine().submit(run("a", 5, null));
        timeline.runUntil(1_000);
        // The first step takes 11 ms: 600 tokens at 100 per millisecond, plus 4 ms per step and 1 ms per request.
        // Each of the other four steps takes 5 ms.
        assertThat(events).containsExactly("a begun 11", "a ended 31").inOrder();
    }

    @Test
    void doesNotReadACachedSharedPartAgain() {
        SimulatedEngine engine = engine();
        engine.submit(run("a", 1, null));
        timeline.runUntil(100);
        engine.submit(run("b", 1, null));
        timeline.runUntil(200);
        assertThat(events).contains("b begun 106");
        assertThat(cacheCounts.readAgainTokens()).isEqualTo(0);
    }

    @Test
    void anotherEngineReadsASharedPartAgainOrFetchesIt() {
        SimulatedEngine first = engine();
        first.submit(run("a", 1, null));
        timeline.runUntil(100);
        engine().submit(run("b", 1, null));
        engine().submit(run("c", 1, first));
        timeline.runUntil(200);
        assertThat(cacheCounts.readAgainTokens()).isEqualTo(500);
        assertThat(cacheCounts.fetchedTokens()).isEqualTo(500);
    }

    @Test
    void aSlowEngineTakesLongerAndASilentEnginePauses() {
        SimulatedEngine engine = engine();
        engine.slowBy(10);
        engine.submit(run("a", 1, null));
        timeline.runUntil(1_000);
        assertThat(events).contains("a begun 110");
        engine.silent(true);
        engine.submit(run("b", 1, null));
        timeline.runUntil(2_000);
        assertThat(events).doesNotContain("b begun 1060");
        engine.silent(false);
        timeline.runUntil(3_000);
        assertThat(events).contains("b ended 2060");
    }

    @Test
    void aPlainEndpointRejectsRequestsBeyondItsQueue() {
        SimulatedPlainEndpoint service = new SimulatedPlainEndpoint(timeline, 1, 1);
        RequestClass call = new RequestClass("call", "p", RequestKind.IDEMPOTENT, 1, 1, 1, 1, 1, 0, 0, 0, 0, 10);
        for (String name : List.of("a", "b", "c")) {
            service.submit(new Run(call, List.of(), 0, 10, null, listener(name)));
        }
        timeline.runUntil(100);
        assertThat(events)
                .containsExactly("c not run", "a begun 10", "a ended 10", "b begun 20", "b ended 20")
                .inOrder();
    }

    private SimulatedEngine engine() {
        return new SimulatedEngine(timeline, ENGINE, cacheCounts, everReadParts);
    }

    private Run run(String name, int outputTokens, @org.jspecify.annotations.Nullable SimulatedEngine holder) {
        List<Run.CachedPart> parts =
                List.of(new Run.CachedPart(1, 500, true), new Run.CachedPart(name.hashCode(), 100, false));
        return new Run(CHAT, parts, outputTokens, 0, holder, listener(name));
    }

    private Run.Listener listener(String name) {
        return new Run.Listener() {
            @Override
            public void answerBegan() {
                events.add(name + " begun " + timeline.nowMillis());
            }

            @Override
            public void answerEnded() {
                events.add(name + " ended " + timeline.nowMillis());
            }

            @Override
            public void rejected(long backoffMillis) {
                events.add(name + " not run");
            }
        };
    }
}
