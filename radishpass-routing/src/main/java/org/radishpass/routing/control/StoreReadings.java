package org.radishpass.routing.control;

import static net.logstash.logback.argument.StructuredArguments.kv;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Objects;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.fleet.StorePosition;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs and counts what becomes of readings of the store, whose readings this router relies on, and the store's era. Belongs to the control thread.
 */
final class StoreReadings {
    private static final Logger LOG = LoggerFactory.getLogger(StoreReadings.class);
    private final MeterRegistry metrics;
    private final StoreEra era;
    private volatile long latestEra;
    private String source = "";
    private int passedOver;

    StoreReadings(MeterRegistry metrics, StoreEra era) {
        this.metrics = metrics;
        this.era = era;
        this.latestEra = era.latest();
        Gauge.builder("radishpass.store.era", this, readings -> readings.latestEra)
                .description(
                        "how often the store has been restored from a snapshot, as far as known; -1 if that is not known")
                .register(metrics);
    }

    /**
     * Takes an era that the store or a peer has told.
     *
     * @param told the era
     * @param origin who told it
     * @return whether the store was restored since this router knew its era last
     */
    boolean eraTold(long told, String origin) {
        long before = era.latest();
        boolean restored = era.told(told);
        latestEra = era.latest();
        if (restored) {
            LOG.warn(
                    "the store was restored from a snapshot: era {} instead of {}, from {}",
                    told,
                    before,
                    origin,
                    LogEvent.STORE_RESTORED.field(),
                    kv("era", told),
                    kv("source", origin));
        }
        return restored;
    }

    /**
     * Takes a reading of the endpoints by this router.
     *
     * @param use what becomes of it
     * @param read where in the store's history it was read
     * @param known where the list was read that it may replace
     */
    void read(ReadingUse use, StorePosition read, StorePosition known) {
        Counter.builder("radishpass.store.readings")
                .description("readings of the endpoints by this router, by what became of them")
                .tag("use", use.label())
                .register(metrics)
                .increment();
        if (use == ReadingUse.USED) {
            usedAgain(read);
        } else if (++passedOver == 1) {
            LOG.warn(
                    "the endpoints as read at {} are not used: the list is of {}",
                    read,
                    known,
                    LogEvent.READING_IGNORED.field(),
                    kv("position", read.toString()),
                    kv("reason", use.label()));
        }
    }

    private void usedAgain(StorePosition read) {
        if (passedOver > 0) {
            LOG.info(
                    "the endpoints as read at {} are used, {} readings before were not",
                    read,
                    passedOver,
                    LogEvent.READING_USED.field(),
                    kv("position", read.toString()),
                    kv("ignored", passedOver));
            passedOver = 0;
        }
    }

    /** Takes whose reading the list rests on now. */
    void source(String current, ListReading reading) {
        if (!Objects.equals(source, current)) {
            LOG.info(
                    "the list of endpoints is read by {} instead of {}",
                    current,
                    source,
                    LogEvent.LIST_SOURCE.field(),
                    kv("source", current),
                    kv("position", reading.position().toString()),
                    kv("settled", reading.settled()));
            source = current;
        }
    }
}
