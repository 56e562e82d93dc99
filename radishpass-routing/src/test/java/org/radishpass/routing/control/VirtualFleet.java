package org.radishpass.routing.control;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.testing.VirtualScheduler;

/**
 * Runs the complete control side of all routers of a fleet in virtual time, with their store and the links between
 * them.
 */
final class VirtualFleet {
    private static final int PEER_PORT = 7_640;
    private static final int SEED_COUNT = 3;
    static final int START_SPREAD_MILLIS = 250;
    private static final double STORE_MEGABITS = 4_000;

    private final VirtualScheduler scheduler = new VirtualScheduler();
    private final VirtualNetwork network = new VirtualNetwork(scheduler);
    private final VirtualStore store = new VirtualStore(scheduler, network);
    private final Map<String, VirtualRouter> routers = new LinkedHashMap<>();
    private final Random random = new Random(20_261_203);
    private final List<FleetRouter> routerSpecs = new ArrayList<>();

    /**
     * Creates a fleet that has not been started.
     *
     * @param count the number of routers
     * @param dataCentres the number of data centres
     * @param endpoints the number of listed endpoints
     * @param megabits the bandwidth of each router's link, in Mbit/s
     */
    VirtualFleet(int count, int dataCentres, int endpoints, double megabits) {
        network.add(VirtualStore.HOST, STORE_MEGABITS);
        for (int number = 0; number < count; number++) {
            int dataCentre = number % dataCentres;
            Address address = new Address("10." + dataCentre + ".0." + (1 + number / dataCentres), PEER_PORT);
            routerSpecs.add(new FleetRouter(
                    address, new DataCentre("dc-" + dataCentre), 1, PEER_PORT + 1, FleetRouter.STREAM_VERSIONS_LEVEL));
            network.add(address.toString(), megabits);
        }
        List<ServiceEndpoint> listed = new ArrayList<>();
        for (int number = 0; number < endpoints; number++) {
            listed.add(new ServiceEndpoint(
                    "endpoint-" + number,
                    "orders",
                    new Address("10.100." + number / 250 + "." + (1 + number % 250), 80),
                    new DataCentre("dc-" + number % dataCentres),
                    6,
                    false));
        }
        store.listEndpoints(listed);
    }

    /** Starts all routers within a quarter of a second. */
    void startAll() {
        List<Address> seeds = seeds();
        for (FleetRouter spec : routerSpecs) {
            scheduler.schedule(() -> start(spec, seeds), random.nextInt(START_SPREAD_MILLIS), TimeUnit.MILLISECONDS);
        }
    }

    private List<Address> seeds() {
        return routerSpecs.stream().limit(SEED_COUNT).map(FleetRouter::address).toList();
    }

    private void start(FleetRouter spec, List<Address> seeds) {
        VirtualRouter router = new VirtualRouter(this, spec);
        routers.put(spec.id(), router);
        router.start(seeds);
    }

    /** Ends the process of a router abruptly. */
    void kill(String id) {
        VirtualRouter router = routers.remove(id);
        if (router != null) {
            router.kill();
        }
    }

    /** Ends the process of a router, by its number, and starts a new one with the same address. */
    void restart(int number) {
        FleetRouter spec = routerSpecs.get(number);
        kill(spec.id());
        start(spec, seeds());
    }

    /** Ends all processes at the same moment. */
    void killAll() {
        routerSpecs.forEach(spec -> kill(spec.id()));
    }

    /** Returns the id of a router, by its number. */
    String id(int number) {
        return routerSpecs.get(number).id();
    }

    /** Starts a process of a router that has ended, by its number. */
    void start(int number) {
        start(routerSpecs.get(number), seeds());
    }

    /** Ends all processes at the same moment, and starts them again. */
    void restartAll() {
        routerSpecs.forEach(spec -> kill(spec.id()));
        routerSpecs.forEach(spec -> start(spec, seeds()));
    }

    /** Advances the virtual time. */
    void advance(Duration time) {
        scheduler.advance(time);
    }

    /** Publishes a version of the configuration. */
    void publish(long version, int bytes) {
        store.publish(document(version, bytes));
    }

    VirtualScheduler scheduler() {
        return scheduler;
    }

    VirtualNetwork network() {
        return network;
    }

    VirtualStore store() {
        return store;
    }

    @Nullable
    VirtualRouter find(String id) {
        return routers.get(id);
    }

    Collection<VirtualRouter> routers() {
        return routers.values();
    }

    /**
     * Returns a configuration with one route per line and unique names. A version differs from the preceding one in its
     * number and in one route.
     */
    static byte[] document(long version, int bytes) {
        StringBuilder text = new StringBuilder(bytes + 200);
        text.append(version).append('\n');
        Random names = new Random(7);
        for (int route = 0; text.length() < bytes; route++) {
            String host = Long.toString(names.nextLong(1L << 50), 36);
            String path = Long.toString(names.nextLong(1L << 50), 36);
            text.append("{\"name\":\"r")
                    .append(route)
                    .append("\",\"host\":\"")
                    .append(host)
                    .append(".example\",\"path\":\"/")
                    .append(path)
                    .append("\",\"service\":\"orders\",\"timeout_ms\":")
                    .append(route == version ? version : 4_000)
                    .append(
                            ",\"max_attempts\":3,\"kind\":\"idempotent\",\"anonymous\":false,\"classes\":[\"interactive\"]}\n");
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }
}
