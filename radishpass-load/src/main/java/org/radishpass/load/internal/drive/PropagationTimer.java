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
 * Times how long changes of configuration take until each router has them in force, and checks that none goes back.
 *
 * @since 0.1.0
 */
public final class Propagation {
    private static final Duration PATIENCE = Duration.ofSeconds(10);
    private static final long PAUSE_MILLIS = 150;
    private static final long POLL_MILLIS = 10;
    private static final long TAIL_MILLIS = 8_000;
    private static final long MOST_MILLIS = 60_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Map<Long, Long> writtenAt = new ConcurrentHashMap<>();
    private final Histogram millis = new Histogram(MOST_MILLIS, 3);
    private final AtomicBoolean running = new AtomicBoolean(true);
    private final Driver driver;
    private final FleetAddresses fleet;
    private final ConfigurationWriter writer;
    private int reverts;

    /**
     * Creates it.
     *
     * @param driver asks routers
     * @param fleet where processes answer
     * @param runtime event loops and clients
     */
    public Propagation(Driver driver, FleetAddresses fleet, HttpRuntime runtime) {
        this.driver = driver;
        this.fleet = fleet;
        this.writer = new ConfigurationWriter(
                new HttpTableService(runtime.client(), fleet.platform(), PATIENCE),
                Clock.systemUTC(),
                () -> UUID.randomUUID().toString());
    }

    /**
     * Writes changes one after another and watches them arrive.
     *
     * @param changes how many
     * @return the distribution, in milliseconds
     * @throws InterruptedException if the wait is broken off
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
            write(i);
            Thread.sleep(PAUSE_MILLIS);
        }
        Thread.sleep(TAIL_MILLIS);
        running.set(false);
        for (Thread watcher : watchers) {
            watcher.join(PATIENCE.toMillis());
        }
        return figures();
    }

    private void write(int number) {
        RecordDocument document = new RecordDocument(
                SchemaVersion.V2,
                RecordKind.MODEL,
                "propagated",
                JsonNodeFactory.instance.objectNode().put("version", Integer.toString(number)),
                "propagation");
        WriteResult result = writer.apply(List.of(document), "propagation", OptionalLong.empty())
                .blockOptional(PATIENCE)
                .orElseThrow();
        if (result instanceof WriteResult.Accepted accepted) {
            writtenAt.put(accepted.revision(), System.nanoTime());
        }
    }

    private void watch(String router) {
        long seen = driver.ask(router + "/v1/status").path("revision").asLong();
        while (running.get()) {
            long now = driver.ask(router + "/v1/status").path("revision").asLong();
            note(seen, now);
            seen = Math.max(seen, now);
            java.util.concurrent.locks.LockSupport.parkNanos(POLL_MILLIS * NANOS_PER_MILLI);
        }
    }

    private synchronized void note(long before, long now) {
        reverts += now < before ? 1 : 0;
        long at = System.nanoTime();
        for (long revision = before + 1; revision <= now; revision++) {
            Long written = writtenAt.get(revision);
            long age = written == null ? 0 : Math.max(0, (at - written) / NANOS_PER_MILLI);
            millis.recordValue(Math.min(MOST_MILLIS, age));
        }
    }

    private synchronized Map<String, Object> figures() {
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("changes", writtenAt.size());
        figures.put("arrivals", millis.getTotalCount());
        figures.put(
                "expectedArrivals", (long) writtenAt.size() * fleet.routers().size());
        figures.put("propagationP50Millis", millis.getValueAtPercentile(50));
        figures.put("propagationP95Millis", millis.getValueAtPercentile(95));
        figures.put("propagationP99Millis", millis.getValueAtPercentile(99));
        figures.put("propagationMaxMillis", millis.getMaxValue());
        figures.put("reverts", reverts);
        return figures;
    }
}
