package org.radishpass.routing.control;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.radishpass.routing.quarantine.CrashCause;
import org.radishpass.routing.quarantine.EndpointCrash;
import org.radishpass.routing.quarantine.Suspect;
import org.radishpass.routing.quarantine.SuspectExchange;
import org.radishpass.routing.quarantine.SuspectReport;
import org.radishpass.routing.traffic.MonotonicClock;
import org.radishpass.runtime.thread.ControlThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

/**
 * Saves quarantined features of requests in the store, so that they stay quarantined when all routers restart at once, as after a
 * loss of power. Otherwise each would crash more endpoints before it is detected again. The router that sees
 * the end of an endpoint that decides on the quarantine writes one row. Each router reads the rows once, when it
 * starts. State is confined to the control thread.
 */
final class QuarantinePersistence {
    private static final Logger LOG = LoggerFactory.getLogger(QuarantinePersistence.class);

    /**
     * Milliseconds for which a row is kept: a day, the longest time for which a request is quarantined, and one more
     * hour in which the request is then tried again.
     */
    private static final long RETENTION_MILLIS = TimeUnit.HOURS.toMillis(25);

    /**
     * Maximum attempts to write a row: with the delays between them, about half a minute of a store that does not
     * answer.
     */
    private static final int MAX_ATTEMPTS = 12;

    /**
     * Maximum number of rows that are written again after a restore of the store: as many requests as may be suspected
     * in one workspace.
     */
    private static final int MAX_REWRITTEN_ROWS = 256;

    /** Milliseconds between these writes of one router. */
    private static final long REWRITE_INTERVAL_MILLIS = 20;

    private final ControlThread thread;
    private final MonotonicClock clock;
    private final ControlSource source;
    private final StoreClock storeClock;
    private final SuspectExchange suspects;
    private final RetryBackoff readBackoff = new RetryBackoff();
    private final Map<CrashCause, Boolean> savedByCause = new LinkedHashMap<>();

    QuarantinePersistence(
            ControlThread thread,
            MonotonicClock clock,
            ControlSource source,
            StoreClock storeClock,
            SuspectExchange suspects) {
        this.thread = thread;
        this.clock = clock;
        this.source = source;
        this.storeClock = storeClock;
        this.suspects = suspects;
    }

    /** Loads the saved requests. Tries again until the store responds. */
    void load() {
        source.quarantined().publishOn(thread.scheduler()).subscribe(this::onLoaded);
    }

    private void onLoaded(QuarantineReadResult result) {
        if (result instanceof QuarantineReadResult.Listed listed) {
            suspects.mergeStoredSuspects(listed.suspects());
            listed.suspects().stream()
                    .filter(QuarantinePersistence::expired)
                    .forEach(suspect -> remove(suspect.cause()));
        } else if (result instanceof QuarantineReadResult.Unavailable unavailable) {
            LOG.info(
                    "quarantined requests could not be read from the store; the router tries again: {}",
                    unavailable.reason());
            thread.scheduleAfter(readBackoff.next(), this::load);
        }
    }

    /**
     * Writes the rows again that this router has written, because the snapshot from which the store was restored may
     * lack them. Rows that this router has removed are removed again.
     *
     * @param delay how long this router waits before it writes
     */
    void storeRestored(Duration delay) {
        if (!savedByCause.isEmpty()) {
            thread.scheduleAfter(delay, () -> suspects.suspects(report -> thread.run(() -> rewrite(report))));
        }
    }

    /**
     * Repeats the writes that still apply. If another router has since cleared a request or confirmed it as the cause,
     * that router writes the row.
     */
    private void rewrite(SuspectReport report) {
        Map<CrashCause, Suspect> suspected = report.suspects().stream()
                .collect(Collectors.toMap(Suspect::cause, Function.identity(), (first, second) -> first));
        long delayMillis = 0;
        for (Map.Entry<CrashCause, Boolean> row : List.copyOf(savedByCause.entrySet())) {
            Suspect suspect = suspected.get(row.getKey());
            if (row.getValue() && suspect != null) {
                thread.scheduleAfter(Duration.ofMillis(delayMillis), () -> save(suspect));
            } else if (!row.getValue() && suspect == null) {
                thread.scheduleAfter(Duration.ofMillis(delayMillis), () -> remove(row.getKey()));
            }
            delayMillis += REWRITE_INTERVAL_MILLIS;
        }
    }

    private void recordWrite(CrashCause cause, boolean saved) {
        savedByCause.remove(cause);
        savedByCause.put(cause, saved);
        if (savedByCause.size() > MAX_REWRITTEN_ROWS) {
            savedByCause.remove(savedByCause.keySet().iterator().next());
        }
    }

    /** Saves a quarantined feature of requests. */
    void save(Suspect suspect) {
        recordWrite(suspect.cause(), true);
        write(
                () -> source.quarantine(suspect, storeClock.latestStoreMillis(clock.millis())),
                suspect.cause(),
                new RetryBackoff(),
                1);
    }

    /** Removes a feature that is no longer quarantined. */
    void remove(CrashCause cause) {
        recordWrite(cause, false);
        write(() -> source.release(cause), cause, new RetryBackoff(), 1);
    }

    private void write(Supplier<Mono<Boolean>> call, CrashCause cause, RetryBackoff backoff, int attempt) {
        call.get().publishOn(thread.scheduler()).subscribe(done -> {
            if (done) {
                return;
            }
            if (attempt < MAX_ATTEMPTS) {
                thread.scheduleAfter(backoff.next(), () -> write(call, cause, backoff, attempt + 1));
            } else {
                LOG.warn(
                        "the quarantine of {} {} could not be updated in the store; the routers still know of it",
                        cause.kind().text(),
                        cause);
            }
        });
    }

    private static boolean expired(Suspect suspect) {
        return suspect.crashes().stream()
                        .mapToLong(EndpointCrash::ageMillis)
                        .min()
                        .orElse(Long.MAX_VALUE)
                > RETENTION_MILLIS;
    }
}
