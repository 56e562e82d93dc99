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
 * The platform's list of machines: the stand-in endpoints, and the routers that wrote a ports file. It lags.
 *
 * @since 0.1.0
 */
public final class VmListStandIn {
    private static final String SUFFIX = ".vm.json";

    private final ConcurrentHashMap<String, VmEntry> endpoints = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<String, Boolean> leaving = new ConcurrentHashMap<>();
    private final Deque<Dated> history = new ArrayDeque<>();
    private final List<String> observers;
    private final Path runDirectory;
    private final Network network;
    private final Clock clock;
    private volatile long lagMillis;

    /**
     * Creates a list.
     *
     * @param observers the data centres that ask
     * @param runDirectory where routers write their ports
     * @param network how data centres see each other
     * @param clock tells the time
     */
    public VmListStandIn(List<String> observers, Path runDirectory, Network network, Clock clock) {
        this.observers = observers;
        this.runDirectory = runDirectory;
        this.network = network;
        this.clock = clock;
    }

    /**
     * Adds an endpoint, or a new start of it.
     *
     * @param entry the endpoint
     */
    public void add(VmEntry entry) {
        endpoints.put(entry.id(), entry);
    }

    /**
     * Removes an endpoint.
     *
     * @param id the endpoint
     */
    public void remove(String id) {
        endpoints.remove(id);
    }

    /**
     * Marks a machine as leaving or not.
     *
     * @param id the machine
     * @param isLeaving whether it is
     */
    public void leaving(String id, boolean isLeaving) {
        leaving.put(id, isLeaving);
    }

    /**
     * Sets how much the list lags.
     *
     * @param millis the lag
     */
    public void lag(long millis) {
        this.lagMillis = millis;
    }

    /** Notes the machines as they are now; the list shows them after its lag. Not for event loops: it makes links. */
    public void refresh() {
        List<VmEntry> now = new ArrayList<>(endpoints.values());
        now.addAll(routers());
        now.forEach(entry -> observers.forEach(observer -> network.port(observer, entry)));
        note(now);
    }

    private synchronized void note(List<VmEntry> now) {
        history.addLast(new Dated(clock.instant(), now));
        Instant visible = clock.instant().minus(Duration.ofMillis(lagMillis));
        while (history.size() > 1 && !second().at().isAfter(visible)) {
            history.removeFirst();
        }
    }

    /**
     * Returns the list.
     *
     * @param observer the data centre that asks
     */
    public synchronized List<Map<String, Object>> list(String observer) {
        Collection<VmEntry> shown =
                history.isEmpty() ? List.of() : history.getFirst().entries();
        return shown.stream()
                .sorted(Comparator.comparing(VmEntry::id))
                .map(entry -> entry.json(
                        entry.host(), network.port(observer, entry), leaving.getOrDefault(entry.id(), false)))
                .toList();
    }

    private Dated second() {
        java.util.Iterator<Dated> each = history.iterator();
        each.next();
        return each.next();
    }

    private List<VmEntry> routers() {
        try (Stream<Path> files = Files.list(runDirectory)) {
            return files.filter(file -> file.toString().endsWith(SUFFIX))
                    .map(VmListStandIn::entry)
                    .toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static VmEntry entry(Path file) {
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

    private record Dated(Instant at, List<VmEntry> entries) {}
}
