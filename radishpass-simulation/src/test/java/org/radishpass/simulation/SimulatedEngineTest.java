package org.radishpass.simulation;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.radishpass.routing.config.RequestKind;

/** Checks the models against figures that can be worked out by hand. */
final class SimulatedEngineTest {
    private static final EngineSettings ENGINE = new EngineSettings(2, 10_000, 4, 0, 1, 100, 1_000);
    private static final RequestClass CHAT =
            new RequestClass("chat", "e", RequestKind.STREAM, 1, 1, 1, 1, 1, 500, 0, 100, 5, 0);

    private final Timeline timeline = new Timeline();
    private final CacheCounts counts = new CacheCounts();
    private final Set<Long> everRead = new HashSet<>();
    private final List<String> heard = new ArrayList<>();

    @Test
    void aPromptIsReadBeforeTheFirstTokenAndEachStepBringsOne() {
        engine().submit(run("a", 5, null));
        timeline.run(1_000);
        // 600 tokens at 100 a millisecond and a step of 4 ms with 1 ms for the request; then steps of 5 ms
        assertThat(heard).containsExactly("a begun 11", "a ended 31").inOrder();
    }

    @Test
    void aSharedPartThatIsKeptIsNotReadAgain() {
        SimulatedEngine engine = engine();
        engine.submit(run("a", 1, null));
        timeline.run(100);
        engine.submit(run("b", 1, null));
        timeline.run(200);
        assertThat(heard).contains("b begun 106");
        assertThat(counts.readAgainTokens()).isEqualTo(0);
    }

    @Test
    void anotherEngineReadsItAgainOrFetchesIt() {
        SimulatedEngine first = engine();
        first.submit(run("a", 1, null));
        timeline.run(100);
        engine().submit(run("b", 1, null));
        engine().submit(run("c", 1, first));
        timeline.run(200);
        assertThat(counts.readAgainTokens()).isEqualTo(500);
        assertThat(counts.movedTokens()).isEqualTo(500);
    }

    @Test
    void aSlowOneTakesLongerAndASilentOneWaits() {
        SimulatedEngine engine = engine();
        engine.slowBy(10);
        engine.submit(run("a", 1, null));
        timeline.run(1_000);
        assertThat(heard).contains("a begun 110");
        engine.silent(true);
        engine.submit(run("b", 1, null));
        timeline.run(2_000);
        assertThat(heard).doesNotContain("b begun 1060");
        engine.silent(false);
        timeline.run(3_000);
        assertThat(heard).contains("b ended 2060");
    }

    @Test
    void aPlainEndpointTurnsAwayWhatItCannotKeepWaiting() {
        PlainService service = new PlainService(timeline, 1, 1);
        RequestClass call = new RequestClass("call", "p", RequestKind.IDEMPOTENT, 1, 1, 1, 1, 1, 0, 0, 0, 0, 10);
        for (String name : List.of("a", "b", "c")) {
            service.submit(new Run(call, List.of(), 0, 10, null, listener(name)));
        }
        timeline.run(100);
        assertThat(heard)
                .containsExactly("c not run", "a begun 10", "a ended 10", "b begun 20", "b ended 20")
                .inOrder();
    }

    private SimulatedEngine engine() {
        return new SimulatedEngine(timeline, ENGINE, counts, everRead);
    }

    private Run run(String name, int outputTokens, @org.jspecify.annotations.Nullable SimulatedEngine holder) {
        List<Run.CachedPart> parts =
                List.of(new Run.CachedPart(1, 500, true), new Run.CachedPart(name.hashCode(), 100, false));
        return new Run(CHAT, parts, outputTokens, 0, holder, listener(name));
    }

    private Run.Listener listener(String name) {
        return new Run.Listener() {
            @Override
            public void begun() {
                heard.add(name + " begun " + timeline.millis());
            }

            @Override
            public void ended() {
                heard.add(name + " ended " + timeline.millis());
            }

            @Override
            public void notRun(long backoffMillis) {
                heard.add(name + " not run");
            }
        };
    }
}
