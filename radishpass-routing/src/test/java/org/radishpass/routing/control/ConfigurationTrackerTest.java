package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.radishpass.routing.config.RoutingConfiguration;

/** Checks that the configuration in force never returns to an earlier version, whichever source offers one. */
final class ConfigurationTrackerTest {
    private final ConfigurationTracker tracker = new ConfigurationTracker(ConfigurationTrackerTest::decode);

    @Test
    void onlyAHigherVersionIsPutInForce() {
        assertThat(tracker.version()).isEqualTo(-1);
        assertThat(tracker.offer(document("7"))).isTrue();
        assertThat(tracker.offer(document("7"))).isFalse();
        assertThat(tracker.offer(document("3"))).isFalse();
        assertThat(tracker.offer(document("12"))).isTrue();
        assertThat(tracker.version()).isEqualTo(12);
        assertThat(tracker.documents().newest().bytes()).isEqualTo(document("12"));
    }

    @Test
    void malformedDocumentChangesNothing() {
        tracker.offer(document("7"));
        assertThrows(MalformedDocumentException.class, () -> tracker.offer(document("x")));
        assertThat(tracker.version()).isEqualTo(7);
    }

    @Test
    void announcedNewerVersionIsExpectedUntilItIsInForce() {
        tracker.offer(document("7"));
        assertThat(tracker.noteAnnouncedVersion(7, 1_000)).isFalse();
        assertThat(tracker.newerExpectedUntilMillis()).isEqualTo(Long.MIN_VALUE);
        assertThat(tracker.noteAnnouncedVersion(9, 1_000)).isTrue();
        long untilMillis = tracker.newerExpectedUntilMillis();
        assertThat(untilMillis).isGreaterThan(1_000);
        assertThat(tracker.noteAnnouncedVersion(9, 5_000)).isFalse();
        assertThat(tracker.newerExpectedUntilMillis()).isEqualTo(untilMillis);
        tracker.offer(document("8"));
        assertThat(tracker.newerExpectedUntilMillis()).isEqualTo(untilMillis);
        tracker.offer(document("9"));
        assertThat(tracker.newerExpectedUntilMillis()).isEqualTo(Long.MIN_VALUE);
    }

    private static byte[] document(String version) {
        return version.getBytes(StandardCharsets.UTF_8);
    }

    private static RoutingConfiguration decode(byte[] content) {
        try {
            return RoutingConfiguration.builder(Long.parseLong(new String(content, StandardCharsets.UTF_8)))
                    .build();
        } catch (NumberFormatException e) {
            throw new MalformedDocumentException("not a number", e);
        }
    }
}
