package org.radishpass.routing.control;

import static net.logstash.logback.argument.StructuredArguments.kv;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.stream.KnownOrigin;
import org.radishpass.routing.stream.StreamOriginExchange;
import org.radishpass.routing.traffic.MonotonicClock;
import org.radishpass.runtime.thread.ControlThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores origins of streams in batches while streams of a service may be of several software versions, and reads them after
 * a start, so that streams can be taken up although all routers have ended. State is confined to the control thread.
 */
final class StreamOriginJournal {
    private static final Logger LOG = LoggerFactory.getLogger(StreamOriginJournal.class);

    /** Writes of all routers together, per second. */
    private static final int WRITES_PER_SECOND = 10;

    private static final long MILLIS_PER_SECOND = 1_000;

    /** Shortest time between two writes of one router, in milliseconds. */
    private static final long MIN_WRITE_INTERVAL_MILLIS = 250;

    /** Maximum number of origins that wait for a store that does not answer; the oldest give way. */
    private static final int MAX_PENDING = 16_384;

    /** Maximum number of batches that one write stores or removes. */
    private static final int MAX_BATCHES_PER_WRITE = 40;

    private final ControlThread thread;
    private final MonotonicClock clock;
    private final ControlSource source;
    private final FleetRouter self;
    private final StoreClock storeClock;
    private final StreamOriginExchange streams;
    private final Counter stored;
    private final RetryBackoff backoff = new RetryBackoff();
    private final Deque<KnownOrigin> pending = new ArrayDeque<>();
    private final Deque<StoredBatch> batches = new ArrayDeque<>();
    private boolean writeScheduled;
    private long lastBatchNumber;

    StreamOriginJournal(
            ControlThread thread,
            MonotonicClock clock,
            ControlSource source,
            FleetRouter self,
            StoreClock storeClock,
            StreamOriginExchange streams,
            MeterRegistry metrics) {
        this.thread = thread;
        this.clock = clock;
        this.source = source;
        this.self = self;
        this.storeClock = storeClock;
        this.streams = streams;
        this.stored = Counter.builder("radishpass.streams.origins.stored")
                .description("streams whose origin this router has stored, for a start of all routers")
                .register(metrics);
    }

    /**
     * Stores origins with the next write.
     *
     * @param origins the origins
     * @param writers the number of routers that store origins
     */
    void add(List<KnownOrigin> origins, int writers) {
        origins.forEach(pending::addLast);
        while (pending.size() > MAX_PENDING) {
            pending.removeFirst();
        }
        long intervalMillis = Math.max(MIN_WRITE_INTERVAL_MILLIS, writers * MILLIS_PER_SECOND / WRITES_PER_SECOND);
        scheduleWrite(Duration.ofMillis(intervalMillis));
    }

    private void scheduleWrite(Duration delay) {
        if (!writeScheduled && (!pending.isEmpty() || !batches.isEmpty())) {
            writeScheduled = true;
            thread.scheduleAfter(delay, this::write);
        }
    }

    private void write() {
        writeScheduled = false;
        long nowMillis = clock.millis();
        long storeMillis = storeClock.latestStoreMillis(nowMillis);
        pending.removeIf(known -> known.expired(nowMillis));
        List<KnownOrigin> origins = new ArrayList<>();
        List<StoredOrigins> added =
                storeMillis == ControlSource.TIME_UNKNOWN ? List.of() : nextBatches(origins, storeMillis - nowMillis);
        List<StoredBatch> expired = batches.stream()
                .filter(batch -> storeMillis != ControlSource.TIME_UNKNOWN && batch.expiresAtMillis() < storeMillis)
                .limit(MAX_BATCHES_PER_WRITE)
                .toList();
        if (added.isEmpty() && expired.isEmpty()) {
            scheduleWrite(Duration.ofSeconds(1));
            return;
        }
        source.saveStreamOrigins(added, expired.stream().map(StoredBatch::name).toList())
                .publishOn(thread.scheduler())
                .subscribe(done -> {
                    if (done) {
                        written(origins.size(), added, expired);
                    } else {
                        // names are unique, so that a write that was performed although it failed does no harm
                        origins.forEach(pending::addFirst);
                        scheduleWrite(backoff.next());
                    }
                });
    }

    private void written(int count, List<StoredOrigins> added, List<StoredBatch> expired) {
        backoff.reset();
        stored.increment(count);
        batches.removeAll(expired);
        added.forEach(batch -> batches.addLast(new StoredBatch(batch.name(), batch.expiresAtMillis())));
        scheduleWrite(Duration.ofSeconds(1));
    }

    /** Takes pending origins into batches, with times on the store's clock. */
    private List<StoredOrigins> nextBatches(List<KnownOrigin> taken, long toStoreMillis) {
        List<StoredOrigins> next = new ArrayList<>();
        while (!pending.isEmpty() && next.size() < MAX_BATCHES_PER_WRITE) {
            List<KnownOrigin> batch = new ArrayList<>();
            long expiresAtMillis = 0;
            while (!pending.isEmpty() && batch.size() < StoredOrigins.MAX_ORIGINS) {
                KnownOrigin known = pending.removeFirst();
                taken.add(known);
                batch.add(known.expiringAt(known.expiresAtMillis() + toStoreMillis));
                expiresAtMillis = Math.max(expiresAtMillis, known.expiresAtMillis() + toStoreMillis);
            }
            next.add(new StoredOrigins(name(toStoreMillis + clock.millis()), batch, expiresAtMillis));
        }
        return next;
    }

    /** Returns a name that no other start of any router uses. */
    private String name(long storeMillis) {
        return String.format(Locale.ROOT, "%s/%d/%d", self.id(), storeMillis, ++lastBatchNumber);
    }

    /**
     * Reads what is stored. Tries again until the store responds.
     *
     * @param removesExpired whether this router removes the batches of other routers once they have expired
     * @param done called when it has been read
     */
    void load(boolean removesExpired, Runnable done) {
        source.streamOrigins().publishOn(thread.scheduler()).subscribe(result -> {
            if (result instanceof StreamOriginReadResult.Listed listed) {
                loaded(listed, removesExpired);
                done.run();
            } else if (result instanceof StreamOriginReadResult.Unavailable unavailable) {
                LOG.info("stored origins of streams cannot be read, trying again: {}", unavailable.reason());
                thread.scheduleAfter(backoff.next(), () -> load(removesExpired, done));
            }
        });
    }

    private void loaded(StreamOriginReadResult.Listed listed, boolean removesExpired) {
        long toLocalMillis = clock.millis() - listed.storeMillis();
        List<KnownOrigin> origins = listed.batches().stream()
                .flatMap(batch -> batch.origins().stream())
                .filter(known -> !known.expired(listed.storeMillis()))
                .map(known -> known.expiringAt(known.expiresAtMillis() + toLocalMillis))
                .toList();
        streams.told(origins);
        if (removesExpired) {
            listed.batches().forEach(batch -> batches.addLast(new StoredBatch(batch.name(), batch.expiresAtMillis())));
            scheduleWrite(Duration.ofSeconds(1));
        }
        LOG.info(
                "read the origins of {} streams in {} batches from the store",
                origins.size(),
                listed.batches().size(),
                LogEvent.STREAM_ORIGINS_READ.field(),
                kv("streams", origins.size()));
    }

    /** A batch that this router removes from the store. */
    private record StoredBatch(String name, long expiresAtMillis) {}
}
