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
import org.radishpass.routing.quarantine.CrashCause;
import org.radishpass.routing.quarantine.Suspect;
import org.radishpass.routing.stream.StreamVersionRecord;
import org.radishpass.routing.testing.VirtualScheduler;
import org.radishpass.runtime.thread.ControlThread;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Checks which requests for configurations a router sends to the store, and when.
 *
 * <p>Guards against two failures. While a document of 500 KB was being received, reads of the endpoint list on the same
 * link failed, and each failure restarted the request for the configuration. A router that was behind received every
 * version that it had missed.
 */
final class ConfigurationFollowerTest {
    private static final long DOCUMENT_BYTES = 100_000;
    private static final Duration ONE_MILLISECOND = Duration.ofMillis(1);

    private final VirtualScheduler scheduler = new VirtualScheduler();
    private final ManualSource source = new ManualSource();
    private final List<String> published = new ArrayList<>();
    private final ConfigurationFollower follower =
            new ConfigurationFollower(new ControlThread(scheduler), scheduler::millis, source, new RecordingListener());
    private boolean readsConfiguration = true;
    private boolean confirmed;

    @Test
    void fullReadIsFollowedByALongPoll() {
        startAndReadFull();

        assertThat(published).containsExactly("1");
        assertThat(source.next().full).isFalse();
    }

    @Test
    void responseWithSeveralVersionsIsCancelledAndOnlyTheNewestIsRead() {
        startAndReadFull();
        Request longPoll = source.next();

        startResponse(longPoll, 3 * DOCUMENT_BYTES);

        assertThat(longPoll.cancelled).isTrue();
        assertThat(source.next().full).isTrue();
    }

    @Test
    void longPollEndsWhenTheRouterIsNoLongerResponsible() {
        startAndReadFull();
        Request first = source.next();
        readsConfiguration = false;
        follower.pollIfResponsible();
        assertThat(first.cancelled).isFalse();
        readsConfiguration = true;
        respond(first, 8, "2");
        Request longPoll = source.next();

        readsConfiguration = false;
        follower.pollIfResponsible();
        assertThat(longPoll.cancelled).isTrue();

        readsConfiguration = true;
        follower.pollIfResponsible();
        assertThat(source.next().full).isFalse();
    }

    @Test
    void aFullReadInAShortTimeNeedsNoConfirmation() {
        startAndReadFull();
        assertThat(confirmed).isTrue();
    }

    /**
     * Guards against denials by an outdated configuration: a starting router read a configuration for 4.8 s while newer
     * ones were accepted, and answered 404 for a route that had been added in the meantime.
     */
    @Test
    void aSlowFullReadCountsAsOutdatedUntilTheStoreHasNothingNewer() {
        readsConfiguration = false;
        follower.start();
        scheduler.advance(ONE_MILLISECOND);
        Request fullRead = source.next();
        startResponse(fullRead, DOCUMENT_BYTES);
        scheduler.advance(Duration.ofMillis(4_800));
        respond(fullRead, 7, "1");
        assertThat(published).containsExactly("1");
        assertThat(confirmed).isFalse();

        Request slowCheck = source.next();
        scheduler.advance(Duration.ofMillis(1_500));
        respond(slowCheck, 8, "2");
        assertThat(published).containsExactly("1", "2").inOrder();
        assertThat(confirmed).isFalse();

        respond(source.next(), 9, "3");
        assertThat(published).containsExactly("1", "2", "3").inOrder();
        assertThat(confirmed).isTrue();
    }

    @Test
    void firstLongPollAfterASlowFullReadEndsWithTheResponsibility() {
        follower.start();
        scheduler.advance(ONE_MILLISECOND);
        Request fullRead = source.next();
        startResponse(fullRead, DOCUMENT_BYTES);
        scheduler.advance(Duration.ofMillis(500));
        respond(fullRead, 7, "1");
        Request first = source.next();

        readsConfiguration = false;
        follower.pollIfResponsible();
        assertThat(first.cancelled).isTrue();
    }

    @Test
    void responseInProgressContinuesWhenTheRouterIsNoLongerResponsible() {
        startAndReadFull();
        Request longPoll = source.next();
        startResponse(longPoll, DOCUMENT_BYTES);

        readsConfiguration = false;
        follower.pollIfResponsible();
        assertThat(longPoll.cancelled).isFalse();
    }

    @Test
    void responseWithOneVersionIsApplied() {
        startAndReadFull();
        Request longPoll = source.next();

        startResponse(longPoll, DOCUMENT_BYTES + 1_000);
        respond(longPoll, 8, "2");

        assertThat(longPoll.cancelled).isFalse();
        assertThat(published).containsExactly("1", "2").inOrder();
    }

    @Test
    void longPollIsRestartedOnlyBeforeAResponseStarts() {
        startAndReadFull();
        Request longPoll = source.next();

        follower.restartLongPoll();
        assertThat(longPoll.cancelled).isTrue();
        Request restartedPoll = source.next();
        startResponse(restartedPoll, DOCUMENT_BYTES);
        follower.restartLongPoll();

        assertThat(restartedPoll.cancelled).isFalse();
        assertThat(source.requests).isEmpty();
    }

    @Test
    void higherRevisionIsCheckedOnceAndOnlyBeforeAResponseStarts() {
        startAndReadFull();
        Request longPoll = source.next();
        follower.checkForNewer(at(9));
        follower.checkForNewer(at(10));
        assertThat(source.requests).hasSize(1);
        respond(source.next(), 10, "2");
        assertThat(published).containsExactly("1", "2").inOrder();

        startResponse(longPoll, DOCUMENT_BYTES);
        follower.checkForNewer(at(11));
        assertThat(source.requests).isEmpty();
    }

    @Test
    void lostHistoryCausesAFullRead() {
        startAndReadFull();

        source.next().result.tryEmitValue(new ConfigurationReadResult.HistoryLost());
        scheduler.advance(ONE_MILLISECOND);

        assertThat(source.next().full).isTrue();
    }

    /**
     * Guards against a long poll after a revision that a restored store has not reached, or has assigned again to
     * another change.
     */
    @Test
    void restoreOfTheStoreEndsTheLongPollAndCausesAFullRead() {
        startAndReadFull();
        Request longPoll = source.next();

        follower.storeRestored(Duration.ZERO);
        scheduler.advance(ONE_MILLISECOND);

        assertThat(longPoll.cancelled).isTrue();
        Request fullRead = source.next();
        assertThat(fullRead.full).isTrue();
        respond(fullRead, new StorePosition(2, 3), "2");
        assertThat(source.next().after).isEqualTo(new StorePosition(2, 3));
        assertThat(published).containsExactly("1", "2").inOrder();
    }

    @Test
    void routerWithALaterTurnLetsOthersReadARestoredStoreFirst() {
        startAndReadFull();
        source.next();

        follower.storeRestored(Duration.ofSeconds(1));
        scheduler.advance(Duration.ofMillis(999));
        assertThat(source.requests).isEmpty();
        readsConfiguration = false;
        scheduler.advance(Duration.ofSeconds(3));

        assertThat(source.requests).isEmpty();
    }

    /** Guards against a burst of 77 full reads within a second by one router. */
    @Test
    void repeatedlyLostHistoryIsReadWithDelays() {
        startAndReadFull();
        int fullReads = 0;
        long endMillis = scheduler.millis() + 2_000;
        while (scheduler.millis() < endMillis) {
            Request request = source.requests.poll();
            if (request == null) {
                scheduler.advance(ONE_MILLISECOND);
            } else if (request.full) {
                fullReads++;
                respond(request, 7, "1");
            } else {
                request.result.tryEmitValue(new ConfigurationReadResult.HistoryLost());
                scheduler.advance(ONE_MILLISECOND);
            }
        }
        assertThat(fullReads).isAtMost(7);
    }

    @Test
    void historyFoundLostByACheckCausesAnImmediateFullRead() {
        startAndReadFull();
        Request longPoll = source.next();
        follower.checkForNewer(new StorePosition(2, 1));
        source.next().result.tryEmitValue(new ConfigurationReadResult.HistoryLost());
        scheduler.advance(ONE_MILLISECOND);
        assertThat(longPoll.cancelled).isTrue();
        assertThat(source.next().full).isTrue();
    }

    @Test
    void noLongPollIsSentWithoutResponsibility() {
        readsConfiguration = false;
        startAndReadFull();

        follower.pollIfResponsible();

        assertThat(source.requests).isEmpty();
    }

    private void startAndReadFull() {
        follower.start();
        scheduler.advance(ONE_MILLISECOND);
        Request first = source.next();
        assertThat(first.full).isTrue();
        startResponse(first, DOCUMENT_BYTES);
        respond(first, 7, "1");
    }

    private void startResponse(Request request, long bytes) {
        request.responseStarted.accept(bytes);
        scheduler.advance(ONE_MILLISECOND);
    }

    private void respond(Request request, long revision, String content) {
        respond(request, at(revision), content);
    }

    private void respond(Request request, StorePosition position, String content) {
        request.result.tryEmitValue(
                new ConfigurationReadResult.Published(position, content.getBytes(StandardCharsets.UTF_8)));
        scheduler.advance(ONE_MILLISECOND);
    }

    /** A request to the store. */
    private static final class Request {
        private final boolean full;
        private final StorePosition after;
        private final LongConsumer responseStarted;
        private final Sinks.One<ConfigurationReadResult> result = Sinks.one();
        private boolean cancelled;

        private Request(boolean full, StorePosition after, LongConsumer onResponseStart) {
            this.full = full;
            this.after = after;
            this.responseStarted = onResponseStart;
        }

        private Mono<ConfigurationReadResult> response() {
            return result.asMono().doOnCancel(() -> cancelled = true);
        }
    }

    /** A store that responds when the test says so. */
    private static final class ManualSource implements ControlSource {
        private final Deque<Request> requests = new ArrayDeque<>();

        private Request next() {
            return requests.remove();
        }

        private Mono<ConfigurationReadResult> send(boolean full, StorePosition after, LongConsumer onResponseStart) {
            Request request = new Request(full, after, onResponseStart);
            requests.add(request);
            return request.response();
        }

        @Override
        public Mono<ConfigurationReadResult> configuration(LongConsumer onResponseStart) {
            return send(true, StorePosition.NONE, onResponseStart);
        }

        @Override
        public Mono<ConfigurationReadResult> configurationAfter(
                StorePosition after, Duration wait, LongConsumer onResponseStart) {
            return send(false, after, onResponseStart);
        }

        @Override
        public Mono<DirectoryReadResult> directory() {
            return Mono.never();
        }

        @Override
        public Mono<RegistryReadResult> register(FleetRouter self) {
            return Mono.never();
        }

        @Override
        public Mono<RegistryReadResult> registered() {
            return Mono.never();
        }

        @Override
        public Mono<Boolean> deregister(Address self, StorePosition registeredAt) {
            return Mono.never();
        }

        @Override
        public Mono<QuarantineReadResult> quarantined() {
            return Mono.never();
        }

        @Override
        public Mono<Boolean> quarantine(Suspect suspect, long storeMillis) {
            return Mono.never();
        }

        @Override
        public Mono<Boolean> release(CrashCause cause) {
            return Mono.never();
        }

        @Override
        public Mono<StreamVersionReadResult> streamVersions() {
            return Mono.never();
        }

        @Override
        public Mono<StreamVersionReadResult> saveStreamVersions(StreamVersionRecord record, StorePosition replaced) {
            return Mono.never();
        }

        @Override
        public Mono<StreamOriginReadResult> streamOrigins() {
            return Mono.never();
        }

        @Override
        public Mono<Boolean> saveStreamOrigins(List<StoredOrigins> added, List<String> removed) {
            return Mono.never();
        }
    }

    /** Records the configurations that were read. */
    private final class RecordingListener implements ConfigurationFollower.Listener {
        @Override
        public boolean readsConfiguration() {
            return readsConfiguration;
        }

        @Override
        public void receivingChanged() {
            // irrelevant to these tests
        }

        @Override
        public void drainsRead(DrainReport report) {
            // irrelevant to these tests
        }

        @Override
        public void configurationUnconfirmed() {
            confirmed = false;
        }

        @Override
        public void configurationConfirmed() {
            confirmed = true;
        }

        @Override
        public void configurationRead(byte[] content) {
            published.add(new String(content, StandardCharsets.UTF_8));
        }
    }
}
