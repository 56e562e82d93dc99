package org.radishpass.routing.control;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.radishpass.routing.quarantine.RequestFingerprint;
import org.radishpass.routing.quarantine.Sighting;
import org.radishpass.routing.quarantine.Suspect;
import org.radishpass.routing.quarantine.SuspectReport;
import org.radishpass.routing.quarantine.SuspectSource;
import org.radishpass.routing.traffic.MonotonicClock;
import org.radishpass.runtime.thread.ControlThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

/**
 * Keeps requests that are held back in the store, so that they stay so when all routers start anew, as after a loss of power: otherwise
 * each would end two more endpoints until it is known again. The router that sees the end that decides it writes one row; each router
 * reads them once, when it starts. State belongs to the control thread.
 */
final class QuarantineKeeper {
    private static final Logger LOG = LoggerFactory.getLogger(QuarantineKeeper.class);

    /** How long a row stays: a day, the longest time for which a request is held back, and the hour in which it is then tried. */
    private static final long KEPT_MILLIS = TimeUnit.HOURS.toMillis(25);

    /** Attempts to write a row: with their pauses about half a minute of a store that does not answer. */
    private static final int MOST_ATTEMPTS = 12;

    /** Rows that are written again after a restore of the store: as many requests as one workspace may have suspected. */
    private static final int MOST_WRITTEN = 256;

    /** Milliseconds between such writes of one router. */
    private static final long BETWEEN_WRITES_MILLIS = 20;

    private final ControlThread thread;
    private final MonotonicClock clock;
    private final ControlSource source;
    private final StoreClock storeClock;
    private final SuspectSource suspects;
    private final RetryPause readPause = new RetryPause();
    private final Map<RequestFingerprint, Boolean> written = new LinkedHashMap<>();

    QuarantineKeeper(
            ControlThread thread,
            MonotonicClock clock,
            ControlSource source,
            StoreClock storeClock,
            SuspectSource suspects) {
        this.thread = thread;
        this.clock = clock;
        this.source = source;
        this.storeClock = storeClock;
        this.suspects = suspects;
    }

    /** Reads what is kept, and tries again until the store answers. */
    void read() {
        source.quarantined().publishOn(thread.scheduler()).subscribe(this::take);
    }

    private void take(QuarantineReading reading) {
        if (reading instanceof QuarantineReading.Listed listed) {
            suspects.suspectsRestored(listed.suspects());
            listed.suspects().stream().filter(QuarantineKeeper::outdated).forEach(old -> released(old.request()));
        } else if (reading instanceof QuarantineReading.Unavailable unavailable) {
            LOG.info("requests that are held back cannot be read yet: {}", unavailable.reason());
            thread.after(readPause.next(), this::read);
        }
    }

    /**
     * Writes again what this router has written: the snapshot from which the store was restored may lack it. What it has removed is removed again.
     *
     * @param turn how long this router lets others go first
     */
    void storeRestored(Duration turn) {
        if (!written.isEmpty()) {
            thread.after(turn, () -> suspects.suspects(report -> thread.run(() -> writeAgain(report))));
        }
    }

    /** What another router has cleared, or found to be the cause, since this one wrote it is that router's to write. */
    private void writeAgain(SuspectReport report) {
        Map<RequestFingerprint, Suspect> suspected = report.suspects().stream()
                .collect(Collectors.toMap(Suspect::request, Function.identity(), (first, second) -> first));
        long delayMillis = 0;
        for (Map.Entry<RequestFingerprint, Boolean> row : List.copyOf(written.entrySet())) {
            Suspect suspect = suspected.get(row.getKey());
            if (row.getValue() && suspect != null) {
                thread.after(Duration.ofMillis(delayMillis), () -> quarantined(suspect));
            } else if (!row.getValue() && suspect == null) {
                thread.after(Duration.ofMillis(delayMillis), () -> released(row.getKey()));
            }
            delayMillis += BETWEEN_WRITES_MILLIS;
        }
    }

    private void noteWritten(RequestFingerprint request, boolean kept) {
        written.remove(request);
        written.put(request, kept);
        if (written.size() > MOST_WRITTEN) {
            written.remove(written.keySet().iterator().next());
        }
    }

    /** Keeps a request. */
    void quarantined(Suspect suspect) {
        noteWritten(suspect.request(), true);
        write(
                () -> source.quarantine(suspect, storeClock.latestStoreMillis(clock.millis())),
                suspect.request(),
                new RetryPause(),
                1);
    }

    /** Removes a request. */
    void released(RequestFingerprint request) {
        noteWritten(request, false);
        write(() -> source.release(request), request, new RetryPause(), 1);
    }

    private void write(Supplier<Mono<Boolean>> call, RequestFingerprint request, RetryPause pause, int attempt) {
        call.get().publishOn(thread.scheduler()).subscribe(done -> {
            if (done) {
                return;
            }
            if (attempt < MOST_ATTEMPTS) {
                thread.after(pause.next(), () -> write(call, request, pause, attempt + 1));
            } else {
                LOG.warn("what is known of request {} is not kept in the store; the routers know it", request);
            }
        });
    }

    private static boolean outdated(Suspect suspect) {
        return suspect.ends().stream().mapToLong(Sighting::ageMillis).min().orElse(Long.MAX_VALUE) > KEPT_MILLIS;
    }
}
