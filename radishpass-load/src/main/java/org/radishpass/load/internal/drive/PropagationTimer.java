package org.radishpass.load.internal.drive;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.HdrHistogram.Histogram;
import org.radishpass.records.RecordDocument;
import org.radishpass.records.schema.RecordKind;
import org.radishpass.records.schema.SchemaVersion;
import org.radishpass.runtime.http.HttpRuntime;
import org.radishpass.tables.configuration.ConfigurationWriter;
import org.radishpass.tables.configuration.WriteResult;
import org.radishpass.tables.table.HttpTableService;

/**
 * Measures the time from writing a configuration change until each router applies the change. Counts how often a router
 * goes back to an older revision.
 *
 * @since 0.1.0
 */
public final class PropagationTimer {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);
    private static final long CHANGE_INTERVAL_MILLIS = 150;
    private static final long POLL_INTERVAL_MILLIS = 10;
    private static final long FINAL_WAIT_MILLIS = 8_000;
    private static final long MAX_RECORDED_MILLIS = 60_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Map<Long, Long> writtenAtNanosByRevision = new ConcurrentHashMap<>();
    private final Histogram delayMillis = new Histogram(MAX_RECORDED_MILLIS, 3);
    private final AtomicBoolean running = new AtomicBoolean(true);
    private final Driver driver;
    private final FleetAddresses fleet;
    private final ConfigurationWriter writer;
    private int reverts;

    /**
     * Creates a timer that writes changes through the platform's table service.
     *
     * @param driver the driver that reads the routers' status
     * @param fleet the addresses of the processes
     * @param runtime the event loops and HTTP clients
     */
    public PropagationTimer(Driver driver, FleetAddresses fleet, HttpRuntime runtime) {
        this.driver = driver;
        this.fleet = fleet;
        this.writer = new ConfigurationWriter(
                new HttpTableService(runtime.client(), fleet.platform(), REQUEST_TIMEOUT),
                Clock.systemUTC(),
                () -> UUID.randomUUID().toString());
    }

    /**
     * Writes changes one after another while polling every router for its revision.
     *
     * @param changes the number of changes to write
     * @return the figures by name: counts, and percentiles of the propagation delay in milliseconds
     * @throws InterruptedException if the thread is interrupted
     */
    public Map<String, Object> run(int changes) throws InterruptedException {
        List<Thread> watchers = new ArrayList<>();
        for (String router : fleet.routers()) {
            Thread watcher = new Thread(() -> watch(router), "watch " + router);
            watcher.setDaemon(true);
            watcher.start();
            watchers.add(watcher);
        }
        for (int i = 0; i < changes; i++) {
            writeChange(i);
            Thread.sleep(CHANGE_INTERVAL_MILLIS);
        }
        Thread.sleep(FINAL_WAIT_MILLIS);
        running.set(false);
        for (Thread watcher : watchers) {
            watcher.join(REQUEST_TIMEOUT.toMillis());
        }
        return figures();
    }

    private void writeChange(int number) {
        RecordDocument document = new RecordDocument(
                SchemaVersion.V2,
                RecordKind.MODEL,
                "propagated",
                JsonNodeFactory.instance.objectNode().put("version", Integer.toString(number)),
                "propagation");
        WriteResult result = writer.apply(List.of(document), "propagation", OptionalLong.empty())
                .blockOptional(REQUEST_TIMEOUT)
                .orElseThrow();
        if (result instanceof WriteResult.Accepted accepted) {
            writtenAtNanosByRevision.put(accepted.revision(), System.nanoTime());
        }
    }

    private void watch(String router) {
        long highest = driver.getJson(router + "/v1/status").path("revision").asLong();
        while (running.get()) {
            long current =
                    driver.getJson(router + "/v1/status").path("revision").asLong();
            recordRevisions(highest, current);
            highest = Math.max(highest, current);
            java.util.concurrent.locks.LockSupport.parkNanos(POLL_INTERVAL_MILLIS * NANOS_PER_MILLI);
        }
    }

    private synchronized void recordRevisions(long previous, long current) {
        reverts += current < previous ? 1 : 0;
        long nowNanos = System.nanoTime();
        for (long revision = previous + 1; revision <= current; revision++) {
            Long writtenNanos = writtenAtNanosByRevision.get(revision);
            long elapsedMillis = writtenNanos == null ? 0 : Math.max(0, (nowNanos - writtenNanos) / NANOS_PER_MILLI);
            delayMillis.recordValue(Math.min(MAX_RECORDED_MILLIS, elapsedMillis));
        }
    }

    private synchronized Map<String, Object> figures() {
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("changes", writtenAtNanosByRevision.size());
        figures.put("arrivals", delayMillis.getTotalCount());
        figures.put(
                "expectedArrivals",
                (long) writtenAtNanosByRevision.size() * fleet.routers().size());
        figures.put("propagationP50Millis", delayMillis.getValueAtPercentile(50));
        figures.put("propagationP95Millis", delayMillis.getValueAtPercentile(95));
        figures.put("propagationP99Millis", delayMillis.getValueAtPercentile(99));
        figures.put("propagationMaxMillis", delayMillis.getMaxValue());
        figures.put("reverts", reverts);
        return figures;
    }
}
