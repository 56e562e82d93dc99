package org.radishpass.routing.stream;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.radishpass.routing.fleet.SoftwareVersion;

/** Checks how the record of software versions follows the list of endpoints, and what it forgets. */
final class StreamVersionRecordTest {
    private static final StreamOrigin V1 = origin("v1");
    private static final StreamOrigin V2 = origin("v2");
    private static final StreamVersionRecord FIRST = StreamVersionRecord.first(1);

    @Test
    void aListedVersionIsOpen() {
        StreamVersionRecord record = FIRST.listing(List.of(V1), false, 100);
        assertThat(record.open(V1)).isTrue();
        assertThat(record.open(V2)).isFalse();
        assertThat(record.mixed()).isFalse();
    }

    /** Guards against a version that ends because a read lacked its endpoints while the store could not be written. */
    @Test
    void aVersionEndsOnlyWhenTheListIsSettled() {
        StreamVersionRecord both = FIRST.listing(List.of(V1, V2), true, 100);
        assertThat(both.listing(List.of(V2), false, 200)).isEqualTo(both);
        StreamVersionRecord one = both.listing(List.of(V2), true, 200);
        assertThat(one.periods()).containsExactly(new VersionPeriod(V1, 200), VersionPeriod.open(V2));
        assertThat(one.mixed()).isTrue();
    }

    /** Guards against a version that comes back and whose end of before still counts. */
    @Test
    void aVersionThatComesBackIsOpenAgain() {
        StreamVersionRecord ended = FIRST.listing(List.of(V1), true, 100).listing(List.of(V2), true, 200);
        assertThat(ended.listing(List.of(V1, V2), true, 300).periods())
                .containsExactly(VersionPeriod.open(V1), VersionPeriod.open(V2));
    }

    /** Guards against a forgotten version whose streams are then taken for those of the one that is left. */
    @Test
    void streamsOfForgottenVersionsAreUnknown() {
        StreamVersionRecord record = FIRST;
        for (int number = 0; number <= StreamVersionRecord.MAX_PERIODS; number++) {
            record = record.listing(List.of(origin("v" + number)), true, 1_000 + number);
        }
        assertThat(record.periods()).hasSize(StreamVersionRecord.MAX_PERIODS);
        assertThat(record.unknownUntilMillis()).isEqualTo(1_001);
    }

    /** Guards against ends of periods that lie ahead on the clock of a restored store. */
    @Test
    void aRestoredStoreMakesAllStreamsUnknown() {
        StreamVersionRecord ended = FIRST.listing(List.of(V1), true, 100).listing(List.of(V2), true, 900);
        assertThat(ended.withUnknownHistory(2, 300))
                .isEqualTo(
                        new StreamVersionRecord(2, 300, List.of(new VersionPeriod(V1, 300), VersionPeriod.open(V2))));
    }

    private static StreamOrigin origin(String version) {
        return new StreamOrigin("llm", new SoftwareVersion(version));
    }
}
