package org.radishpass.routing.stream;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.radishpass.routing.fleet.SoftwareVersion;

/** Checks what a router knows of the origins of streams, and when it tells and asks others. */
final class StreamOriginRegistryTest {
    private static final long LIFETIME_MILLIS = 10_000;

    private final AtomicLong nowMillis = new AtomicLong(1_000);
    private final RecordingPeers peers = new RecordingPeers();
    private final StreamOriginRegistry registry =
            new StreamOriginRegistry(Runnable::run, nowMillis::get, Runnable::run);

    @BeforeEach
    void connect() {
        registry.peers(peers);
    }

    @Test
    void nobodyIsToldOrAskedWhileOneVersionIsRecorded() {
        registry.versions(recorded(VersionPeriod.open(origin("v1"))));
        begin(1, "v1");
        assertThat(peers.told).isEmpty();
        assertThat(resolved(2)).isEqualTo("v1 sole-version");
        assertThat(peers.asked).isEqualTo(0);
    }

    /** Guards against streams that began before versions were mixed and that nobody knows of afterwards. */
    @Test
    void streamsThatBeganBeforeASecondVersionIsRecordedAreToldThen() {
        registry.versions(recorded(VersionPeriod.open(origin("v1"))));
        begin(1, "v1");
        registry.versions(recorded(VersionPeriod.open(origin("v1")), VersionPeriod.open(origin("v2"))));
        assertThat(peers.told).containsExactly(1L);
        assertThat(resolved(1)).isEqualTo("v1 kept");
        assertThat(resolved(2)).isEqualTo(" unknown");
    }

    /** Guards against a guess after the last endpoint of the other version is gone but its streams are not. */
    @Test
    void aSoleVersionIsNotTrustedBeforeStreamsOfTheOtherOneAreOver() {
        registry.versions(recorded(new VersionPeriod(origin("v1"), nowMillis.get()), VersionPeriod.open(origin("v2"))));
        nowMillis.addAndGet(StreamVersions.LATE_BEGIN_MILLIS + LIFETIME_MILLIS - 1);
        assertThat(resolved(1)).isEqualTo(" unknown");
        nowMillis.addAndGet(1);
        assertThat(resolved(1)).isEqualTo("v2 sole-version");
    }

    /** Guards against a guess while the versions at which streams began are not known, as after a restore of the store. */
    @Test
    void aSoleVersionIsNotTrustedBeforeStreamsOfUnknownVersionAreOver() {
        StreamVersionRecord first = StreamVersionRecord.first(1).listing(List.of(origin("v1")), true, 0);
        registry.versions(StreamVersions.of(first.withUnknownHistory(2, nowMillis.get()), millis -> millis));
        nowMillis.addAndGet(StreamVersions.LATE_BEGIN_MILLIS + LIFETIME_MILLIS - 1);
        assertThat(resolved(1)).isEqualTo(" unknown");
        nowMillis.addAndGet(1);
        assertThat(resolved(1)).isEqualTo("v1 sole-version");
    }

    @Test
    void endpointsOfUnknownVersionAreNoSoleVersion() {
        registry.versions(recorded(VersionPeriod.open(origin(""))));
        assertThat(resolved(1)).isEqualTo(" unknown");
    }

    /** Guards against the sole version that this router knew of before another router recorded a second one. */
    @Test
    void aSecondVersionThatAnotherRouterRecordedIsSeenWhenAStreamIsTakenUp() {
        registry.versions(recorded(VersionPeriod.open(origin("v1"))));
        peers.onConfirm =
                () -> registry.versions(recorded(VersionPeriod.open(origin("v1")), VersionPeriod.open(origin("v2"))));
        assertThat(resolved(1)).isEqualTo(" unknown");
    }

    /** Guards against a guess by a router that neither the store nor any other router answers. */
    @Test
    void withoutTheStoreASoleVersionCountsOnlyIfAnotherRouterAnswers() {
        registry.versions(recorded(VersionPeriod.open(origin("v1"))));
        peers.confirms = false;
        assertThat(resolved(1)).isEqualTo(" unknown");
        peers.answer = new OriginAnswer(Optional.empty(), 2);
        assertThat(resolved(1)).isEqualTo("v1 sole-version");
        peers.answer = new OriginAnswer(Optional.of(origin("v2")), 1);
        assertThat(resolved(1)).isEqualTo("v2 peer");
    }

    /** Guards against refusing streams in the moment after a start in which what is stored has not been read yet. */
    @Test
    void streamsThatAreTakenUpWaitUntilWhatIsStoredHasBeenRead() {
        registry.settling();
        List<String> answers = new ArrayList<>();
        resolve(7, answers);
        assertThat(answers).isEmpty();
        registry.told(List.of(KnownOrigin.begun(7, origin("v3"), nowMillis.get())));
        registry.settled();
        assertThat(answers).containsExactly("v3 kept");
    }

    @Test
    void whatPeersTellIsKeptUntilItExpires() {
        registry.told(List.of(KnownOrigin.begun(7, origin("v3"), nowMillis.get())));
        assertThat(resolved(7)).isEqualTo("v3 kept");
        nowMillis.addAndGet(5_000);
        assertThat(resolved(7)).isEqualTo(" unknown");
        registry.removeExpired();
        assertThat(registry.size()).isEqualTo(0);
    }

    @Test
    void theFirstOriginOfAStreamHolds() {
        begin(1, "v1");
        registry.told(List.of(KnownOrigin.begun(1, origin("v2"), nowMillis.get())));
        assertThat(resolved(1)).isEqualTo("v1 kept");
    }

    @Test
    void thePeersAnswerIsTaken() {
        peers.answer = new OriginAnswer(Optional.of(origin("v9")), 1);
        assertThat(resolved(4)).isEqualTo("v9 peer");
    }

    @Test
    void theNumberOfStreamsIsBounded() {
        for (int stream = 0; stream <= KnownOrigins.MAX_STREAMS; stream++) {
            begin(stream, "v1");
        }
        assertThat(registry.size()).isEqualTo(KnownOrigins.MAX_STREAMS);
        assertThat(resolved(0)).isEqualTo(" unknown");
        assertThat(resolved(KnownOrigins.MAX_STREAMS)).isEqualTo("v1 kept");
    }

    private void begin(long stream, String version) {
        registry.began(KnownOrigin.begun(stream, origin(version), nowMillis.get()), LIFETIME_MILLIS);
    }

    private String resolved(long stream) {
        List<String> answers = new ArrayList<>();
        resolve(stream, answers);
        assertThat(answers).hasSize(1);
        return answers.get(0);
    }

    private void resolve(long stream, List<String> answers) {
        registry.resolve(
                stream,
                "llm",
                LIFETIME_MILLIS,
                (origin, source) ->
                        answers.add(origin.map(found -> found.version().name()).orElse("") + " " + source.text()));
    }

    private static StreamVersions recorded(VersionPeriod... periods) {
        return StreamVersions.of(
                new StreamVersionRecord(1, StreamVersionRecord.ALL_KNOWN, List.of(periods)), millis -> millis);
    }

    private static StreamOrigin origin(String version) {
        return new StreamOrigin("llm", new SoftwareVersion(version));
    }

    /** Records what it is told, and gives one answer. */
    private static final class RecordingPeers implements StreamOriginPeers {
        private final List<Long> told = new ArrayList<>();
        private OriginAnswer answer = OriginAnswer.NONE;
        private boolean confirms = true;
        private Runnable onConfirm = () -> {};
        private int asked;

        @Override
        public void tell(List<KnownOrigin> origins) {
            origins.forEach(known -> told.add(known.stream()));
        }

        @Override
        public void ask(long stream, String service, long lifetimeMillis, Consumer<OriginAnswer> receiver) {
            asked++;
            receiver.accept(answer);
        }

        @Override
        public void confirmVersions(Consumer<Boolean> done) {
            onConfirm.run();
            done.accept(confirms);
        }
    }
}
