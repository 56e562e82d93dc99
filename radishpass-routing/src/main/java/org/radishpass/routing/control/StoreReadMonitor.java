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
 * Logs and counts how reads of the endpoint list are used, which router's reads the list is based on, and restores of
 * the store. Confined to the control thread.
 */
final class StoreReadMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(StoreReadMonitor.class);
    private final MeterRegistry metrics;
    private final StoreEra era;
    private volatile long latestEra;
    private String listSource = "";
    private int ignoredReads;

    StoreReadMonitor(MeterRegistry metrics, StoreEra era) {
        this.metrics = metrics;
        this.era = era;
        this.latestEra = era.latest();
        Gauge.builder("radishpass.store.era", this, monitor -> monitor.latestEra)
                .description(
                        "how often the store has been restored from a snapshot, as far as known; -1 if that is not known")
                .register(metrics);
    }

    /**
     * Applies an era that the store or a peer reported, and logs a restore of the store.
     *
     * @param reportedEra the reported era
     * @param origin the source of the report
     * @return whether the store was restored since this router last knew its era
     */
    boolean eraObserved(long reportedEra, String origin) {
        long eraBefore = era.latest();
        boolean restored = era.observed(reportedEra);
        latestEra = era.latest();
        if (restored) {
            LOG.warn(
                    "the store was restored from a snapshot: era {} instead of {}, from {}",
                    reportedEra,
                    eraBefore,
                    origin,
                    LogEvent.STORE_RESTORED.field(),
                    kv("era", reportedEra),
                    kv("source", origin));
        }
        return restored;
    }

    /**
     * Counts a read of the endpoints by this router, and logs when reads start or cease to be ignored.
     *
     * @param use how the read is used
     * @param read the position in the store's history of the read
     * @param known the position of the list that the read may replace
     */
    void read(ReadUse use, StorePosition read, StorePosition known) {
        Counter.builder("radishpass.store.readings")
                .description("readings of the endpoints by this router, by what became of them")
                .tag("use", use.label())
                .register(metrics)
                .increment();
        if (use == ReadUse.USED) {
            logReadsUsedAgain(read);
        } else if (++ignoredReads == 1) {
            LOG.warn(
                    "ignoring endpoints read at store position {}: the current list is from position {}",
                    read,
                    known,
                    LogEvent.READING_IGNORED.field(),
                    kv("position", read.toString()),
                    kv("reason", use.label()));
        }
    }

    /** Counts a read of the endpoints by this router that failed. */
    void readFailed(ReadFailure failure) {
        Counter.builder("radishpass.store.readings.failed")
                .description("readings of the endpoints by this router that failed, by whose fault it was")
                .tag("failure", failure.label())
                .register(metrics)
                .increment();
    }

    private void logReadsUsedAgain(StorePosition read) {
        if (ignoredReads > 0) {
            LOG.info(
                    "using endpoints read at store position {} after {} ignored reads",
                    read,
                    ignoredReads,
                    LogEvent.READING_USED.field(),
                    kv("position", read.toString()),
                    kv("ignored", ignoredReads));
            ignoredReads = 0;
        }
    }

    /** Records on which router's reads the endpoint list is currently based, and logs a change. */
    void listSourceObserved(String current, EndpointListVersion version) {
        if (!Objects.equals(listSource, current)) {
            LOG.info(
                    "the endpoint list is now read by {}, before by {}",
                    current,
                    listSource,
                    LogEvent.LIST_SOURCE.field(),
                    kv("source", current),
                    kv("position", version.position().toString()),
                    kv("settled", version.settled()));
            listSource = current;
        }
    }
}
