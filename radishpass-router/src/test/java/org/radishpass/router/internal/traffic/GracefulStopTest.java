package org.radishpass.router.internal.traffic;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.radishpass.core.outcome.RefusalCode;
import org.radishpass.core.outcome.Verdict;

/** Checks which requests a router that stops takes. */
final class GracefulStopTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration BALANCER = Duration.ofSeconds(3);
    private static final Duration DRAIN = Duration.ofSeconds(10);

    private final AtomicLong nanos = new AtomicLong(-1); // the origin of a monotonic clock is arbitrary
    private final GracefulStop stop = new GracefulStop(Clock.fixed(NOW, ZoneOffset.UTC), nanos::get);

    /** Guards against a request that a stopping router takes although it may end before the response. */
    @ParameterizedTest
    @CsvSource({
        "0, 600, true",
        "2900, 600, true",
        "3000, 600, false",
        "3000, 10, true",
        "3001, 10, false",
        "12900, 1, false",
        "12000, 1, true",
        "13000, 1, false",
        "20000, 1, false",
    })
    void aRequestIsTakenOnlyIfItEndsBeforeTheRouter(long atMillis, long deadlineSeconds, boolean taken) {
        stop.begin(StopDeadlines.of(nanos.get(), BALANCER, DRAIN));
        nanos.addAndGet(Duration.ofMillis(atMillis).toNanos());

        assertThat(stop.accepts(NOW.plusSeconds(deadlineSeconds))).isEqualTo(taken);
    }

    @Test
    void aRouterThatDoesNotStopTakesAllRequests() {
        assertThat(stop.begun()).isFalse();
        assertThat(stop.accepts(NOW.plusSeconds(600))).isTrue();
    }

    /** Guards against a request that arrives between the decision that nothing is in progress and the end of the process. */
    @Test
    void aRouterThatClosesTakesNoRequest() {
        stop.begin(StopDeadlines.of(nanos.get(), BALANCER, DRAIN));
        stop.close();

        RefusedException refused = assertThrows(RefusedException.class, () -> stop.requireAccepted(NOW.plusSeconds(1)));
        assertThat(refused.refusal().code()).isEqualTo(RefusalCode.NOT_READY);
        assertThat(refused.refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
    }
}
