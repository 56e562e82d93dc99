package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.radishpass.routing.config.RoutingConfiguration;

/** Checks that a configuration never goes back, whoever offers one. */
final class ConfigurationTrackerTest {
    private final ConfigurationTracker tracker = new ConfigurationTracker(ConfigurationTrackerTest::decode);

    @Test
    void onlyAHigherVersionComesIntoForce() {
        assertThat(tracker.version()).isEqualTo(-1);
        assertThat(tracker.offer(document("7"))).isTrue();
        assertThat(tracker.offer(document("7"))).isFalse();
        assertThat(tracker.offer(document("3"))).isFalse();
        assertThat(tracker.offer(document("12"))).isTrue();
        assertThat(tracker.version()).isEqualTo(12);
        assertThat(tracker.documents().newest().bytes()).isEqualTo(document("12"));
    }

    @Test
    void oneThatCannotBeReadChangesNothing() {
        tracker.offer(document("7"));
        assertThrows(MalformedDocumentException.class, () -> tracker.offer(document("x")));
        assertThat(tracker.version()).isEqualTo(7);
    }

    @Test
    void aNewerOneThatWasHeardOfIsExpectedUntilItIsInForce() {
        tracker.offer(document("7"));
        assertThat(tracker.heardOf(7, 1_000)).isFalse();
        assertThat(tracker.newerExpectedUntilMillis()).isEqualTo(Long.MIN_VALUE);
        assertThat(tracker.heardOf(9, 1_000)).isTrue();
        long until = tracker.newerExpectedUntilMillis();
        assertThat(until).isGreaterThan(1_000);
        assertThat(tracker.heardOf(9, 5_000)).isFalse();
        assertThat(tracker.newerExpectedUntilMillis()).isEqualTo(until);
        tracker.offer(document("8"));
        assertThat(tracker.newerExpectedUntilMillis()).isEqualTo(until);
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
