package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;
import static org.radishpass.routing.testing.StorePositions.at;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.LongConsumer;
import org.junit.jupiter.api.Test;
import org.radishpass.core.fleet.Address;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.fleet.StorePosition;
import org.radishpass.routing.quarantine.RequestFingerprint;
import org.radishpass.routing.quarantine.Suspect;
import org.radishpass.routing.testing.VirtualScheduler;
import org.radishpass.runtime.thread.ControlThread;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Checks what a router asks of the store for configurations, and when.
 *
 * <p>Seen: while a document of 500 KB came, readings of the list failed beside it on the same link, and each began the wait for the
 * configuration anew; a router that was behind read each version that it had missed.
 */
final class ConfigurationFollowerTest {
    private static final long WHOLE_BYTES = 100_000;
    private static final Duration MOMENT = Duration.ofMillis(1);

    private final VirtualScheduler time = new VirtualScheduler();
    private final Source source = new Source();
    private final List<String> published = new ArrayList<>();
    private final ConfigurationFollower follower =
            new ConfigurationFollower(new ControlThread(time), time::millis, source, new Listener());
    private boolean readsConfiguration = true;

    @Test
    void theConfigurationIsReadWholeFirstAndThenWaitedFor() {
        startAndReadWhole();

        assertThat(published).containsExactly("1");
        assertThat(source.next().whole).isFalse();
    }

    @Test
    void anAnswerOfSeveralVersionsIsBrokenOffAndTheNewestReadAlone() {
        startAndReadWhole();
        Call wait = source.next();

        begins(wait, 3 * WHOLE_BYTES);

        assertThat(wait.cancelled).isTrue();
        assertThat(source.next().whole).isTrue();
    }

    @Test
    void aWaitThatIsNotThisRoutersDutyAnyMoreEnds() {
        startAndReadWhole();
        Call first = source.next();
        readsConfiguration = false;
        follower.followIfDue();
        assertThat(first.cancelled).isFalse();
        readsConfiguration = true;
        answers(first, 8, "2");
        Call wait = source.next();

        readsConfiguration = false;
        follower.followIfDue();
        assertThat(wait.cancelled).isTrue();

        readsConfiguration = true;
        follower.followIfDue();
        assertThat(source.next().whole).isFalse();
    }

    @Test
    void whereTheWholeDocumentCameSlowlyTheFirstWaitEndsToo() {
        follower.start();
        time.pass(MOMENT);
        Call whole = source.next();
        begins(whole, WHOLE_BYTES);
        time.pass(Duration.ofMillis(500));
        answers(whole, 7, "1");
        Call first = source.next();

        readsConfiguration = false;
        follower.followIfDue();
        assertThat(first.cancelled).isTrue();
    }

    @Test
    void anAnswerThatComesIsTakenAlthoughItIsNotThisRoutersDutyAnyMore() {
        startAndReadWhole();
        Call wait = source.next();
        begins(wait, WHOLE_BYTES);

        readsConfiguration = false;
        follower.followIfDue();
        assertThat(wait.cancelled).isFalse();
    }

    @Test
    void anAnswerOfOneVersionIsTaken() {
        startAndReadWhole();
        Call wait = source.next();

        begins(wait, WHOLE_BYTES + 1_000);
        answers(wait, 8, "2");

        assertThat(wait.cancelled).isFalse();
        assertThat(published).containsExactly("1", "2").inOrder();
    }

    @Test
    void aWaitIsBegunAnewOnlyWhileNothingComes() {
        startAndReadWhole();
        Call wait = source.next();

        follower.restartWait();
        assertThat(wait.cancelled).isTrue();
        Call anew = source.next();
        begins(anew, WHOLE_BYTES);
        follower.restartWait();

        assertThat(anew.cancelled).isFalse();
        assertThat(source.calls).isEmpty();
    }

    @Test
    void aRisenRevisionIsCheckedOnceAndOnlyWhileNothingComes() {
        startAndReadWhole();
        Call wait = source.next();
        follower.check(at(9));
        follower.check(at(10));
        assertThat(source.calls).hasSize(1);
        answers(source.next(), 10, "2");
        assertThat(published).containsExactly("1", "2").inOrder();

        begins(wait, WHOLE_BYTES);
        follower.check(at(11));
        assertThat(source.calls).isEmpty();
    }

    @Test
    void aLostHistoryIsReadWhole() {
        startAndReadWhole();

        source.next().result.tryEmitValue(new ConfigurationReading.HistoryLost());
        time.pass(MOMENT);

        assertThat(source.next().whole).isTrue();
    }

    /** Guards against a wait for changes after a revision that a restored store has not reached, or has given out again. */
    @Test
    void aRestoreOfTheStoreEndsAWaitAndAllIsReadWhole() {
        startAndReadWhole();
        Call wait = source.next();

        follower.storeRestored(Duration.ZERO);
        time.pass(MOMENT);

        assertThat(wait.cancelled).isTrue();
        Call whole = source.next();
        assertThat(whole.whole).isTrue();
        answers(whole, new StorePosition(2, 3), "2");
        assertThat(source.next().after).isEqualTo(new StorePosition(2, 3));
        assertThat(published).containsExactly("1", "2").inOrder();
    }

    @Test
    void aRouterWhoseTurnIsLaterLetsOthersReadARestoredStoreFirst() {
        startAndReadWhole();
        source.next();

        follower.storeRestored(Duration.ofSeconds(1));
        time.pass(Duration.ofMillis(999));
        assertThat(source.calls).isEmpty();
        readsConfiguration = false;
        time.pass(Duration.ofSeconds(3));

        assertThat(source.calls).isEmpty();
    }

    /** Guards against a storm of calls: 77 of the whole configuration in a second at one router. */
    @Test
    void aHistoryThatIsLostAgainAndAgainIsAskedForWithPauses() {
        startAndReadWhole();
        int wholes = 0;
        long endMillis = time.millis() + 2_000;
        while (time.millis() < endMillis) {
            Call call = source.calls.poll();
            if (call == null) {
                time.pass(MOMENT);
            } else if (call.whole) {
                wholes++;
                answers(call, 7, "1");
            } else {
                call.result.tryEmitValue(new ConfigurationReading.HistoryLost());
                time.pass(MOMENT);
            }
        }
        assertThat(wholes).isAtMost(7);
    }

    @Test
    void aHistoryThatACheckFindsLostIsReadWholeAtOnce() {
        startAndReadWhole();
        Call wait = source.next();
        follower.check(new StorePosition(2, 1));
        source.next().result.tryEmitValue(new ConfigurationReading.HistoryLost());
        time.pass(MOMENT);
        assertThat(wait.cancelled).isTrue();
        assertThat(source.next().whole).isTrue();
    }

    @Test
    void nothingIsWaitedForWithoutTheDuty() {
        readsConfiguration = false;
        startAndReadWhole();

        follower.followIfDue();

        assertThat(source.calls).isEmpty();
    }

    private void startAndReadWhole() {
        follower.start();
        time.pass(MOMENT);
        Call first = source.next();
        assertThat(first.whole).isTrue();
        begins(first, WHOLE_BYTES);
        answers(first, 7, "1");
    }

    private void begins(Call call, long bytes) {
        call.begun.accept(bytes);
        time.pass(MOMENT);
    }

    private void answers(Call call, long revision, String content) {
        answers(call, at(revision), content);
    }

    private void answers(Call call, StorePosition position, String content) {
        call.result.tryEmitValue(
                new ConfigurationReading.Published(position, content.getBytes(StandardCharsets.UTF_8)));
        time.pass(MOMENT);
    }

    /** A question to the store. */
    private static final class Call {
        private final boolean whole;
        private final StorePosition after;
        private final LongConsumer begun;
        private final Sinks.One<ConfigurationReading> result = Sinks.one();
        private boolean cancelled;

        private Call(boolean whole, StorePosition after, LongConsumer begun) {
            this.whole = whole;
            this.after = after;
            this.begun = begun;
        }

        private Mono<ConfigurationReading> answer() {
            return result.asMono().doOnCancel(() -> cancelled = true);
        }
    }

    /** A store that answers when the test says so. */
    private static final class Source implements ControlSource {
        private final Deque<Call> calls = new ArrayDeque<>();

        private Call next() {
            return calls.remove();
        }

        private Mono<ConfigurationReading> call(boolean whole, StorePosition after, LongConsumer begun) {
            Call call = new Call(whole, after, begun);
            calls.add(call);
            return call.answer();
        }

        @Override
        public Mono<ConfigurationReading> configuration(LongConsumer begun) {
            return call(true, StorePosition.NONE, begun);
        }

        @Override
        public Mono<ConfigurationReading> configurationAfter(StorePosition after, Duration wait, LongConsumer begun) {
            return call(false, after, begun);
        }

        @Override
        public Mono<DirectoryReading> directory() {
            return Mono.never();
        }

        @Override
        public Mono<RegistryReading> register(FleetRouter self) {
            return Mono.never();
        }

        @Override
        public Mono<RegistryReading> registered() {
            return Mono.never();
        }

        @Override
        public Mono<Boolean> deregister(Address self, StorePosition registeredAt) {
            return Mono.never();
        }

        @Override
        public Mono<QuarantineReading> quarantined() {
            return Mono.never();
        }

        @Override
        public Mono<Boolean> quarantine(Suspect suspect, long storeMillis) {
            return Mono.never();
        }

        @Override
        public Mono<Boolean> release(RequestFingerprint request) {
            return Mono.never();
        }
    }

    /** Notes what is published. */
    private final class Listener implements ConfigurationFollower.Listener {
        @Override
        public boolean readsConfiguration() {
            return readsConfiguration;
        }

        @Override
        public void arrivalChanged() {
            // of no interest here
        }

        @Override
        public void drains(DrainReading reading) {
            // of no interest here
        }

        @Override
        public void published(byte[] content) {
            published.add(new String(content, StandardCharsets.UTF_8));
        }
    }
}
