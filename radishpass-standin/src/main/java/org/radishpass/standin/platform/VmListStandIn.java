package org.radishpass.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import org.radishpass.runtime.http.HttpJson;
import org.radishpass.standin.link.Network;

/**
 * Stand-in for the platform's VM list. Contains the stand-in endpoints and the routers that wrote a ports file, as
 * they were a configurable time ago.
 *
 * @since 0.1.0
 */
public final class VmListStandIn {
    private static final String PORTS_FILE_SUFFIX = ".vm.json";

    private final ConcurrentHashMap<String, VmEntry> endpoints = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<String, Boolean> leaving = new ConcurrentHashMap<>();
    private final Deque<Snapshot> history = new ArrayDeque<>();
    private final List<String> observers;
    private final Path runDirectory;
    private final Network network;
    private final Clock clock;
    private volatile long lagMillis;

    /**
     * Creates an empty list.
     *
     * @param observers the data centres that request the list
     * @param runDirectory the directory in which routers write their ports files
     * @param network the network through which data centres reach each other
     * @param clock the clock for the age of the list
     */
    public VmListStandIn(List<String> observers, Path runDirectory, Network network, Clock clock) {
        this.observers = observers;
        this.runDirectory = runDirectory;
        this.network = network;
        this.clock = clock;
    }

    /**
     * Adds an endpoint, or replaces an earlier incarnation of the endpoint.
     *
     * @param entry the endpoint
     */
    public void add(VmEntry entry) {
        endpoints.put(entry.id(), entry);
    }

    /**
     * Removes an endpoint.
     *
     * @param id the endpoint's identifier
     */
    public void remove(String id) {
        endpoints.remove(id);
    }

    /**
     * Sets whether the list shows a machine as leaving.
     *
     * @param id the machine's identifier
     * @param isLeaving whether the platform is about to stop the machine
     */
    public void leaving(String id, boolean isLeaving) {
        leaving.put(id, isLeaving);
    }

    /**
     * Sets the age of the list.
     *
     * @param millis the age in milliseconds
     */
    public void lag(long millis) {
        this.lagMillis = millis;
    }

    /**
     * Takes a snapshot of the machines, which the list shows once the snapshot has reached the configured age. Must not be called on an event
     * loop, because creating network links blocks.
     */
    public void refresh() {
        List<VmEntry> machines = new ArrayList<>(endpoints.values());
        machines.addAll(readRouters());
        machines.forEach(entry -> observers.forEach(observer -> network.observedPort(observer, entry)));
        addSnapshot(machines);
    }

    private synchronized void addSnapshot(List<VmEntry> machines) {
        history.addLast(new Snapshot(clock.instant(), machines));
        Instant visibleTime = clock.instant().minus(Duration.ofMillis(lagMillis));
        while (history.size() > 1 && !secondSnapshot().time().isAfter(visibleTime)) {
            history.removeFirst();
        }
    }

    /**
     * Returns the list as one data centre sees it, ordered by identifier.
     *
     * @param observer the data centre that requests the list; empty for direct addresses
     */
    public synchronized List<Map<String, Object>> list(String observer) {
        Collection<VmEntry> shown =
                history.isEmpty() ? List.of() : history.getFirst().entries();
        return shown.stream()
                .sorted(Comparator.comparing(VmEntry::id))
                .map(entry -> entry.toJson(
                        entry.host(), network.observedPort(observer, entry), leaving.getOrDefault(entry.id(), false)))
                .toList();
    }

    private Snapshot secondSnapshot() {
        java.util.Iterator<Snapshot> snapshots = history.iterator();
        snapshots.next();
        return snapshots.next();
    }

    private List<VmEntry> readRouters() {
        try (Stream<Path> files = Files.list(runDirectory)) {
            return files.filter(file -> file.toString().endsWith(PORTS_FILE_SUFFIX))
                    .map(VmListStandIn::readPortsFile)
                    .toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static VmEntry readPortsFile(Path file) {
        try {
            JsonNode json = HttpJson.parse(Files.readAllBytes(file));
            return new VmEntry(
                    json.path("id").asText(),
                    json.path("incarnation").asText(),
                    json.path("kind").asText(),
                    json.path("dataCentre").asText(),
                    json.path("host").asText(),
                    json.path("port").asInt());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private record Snapshot(Instant time, List<VmEntry> entries) {}
}
