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

/** Routers with their whole control side, their store and the links between them, in virtual time. */
final class VirtualFleet {
    private static final int PEER_PORT = 7_640;
    private static final int SEEDS = 3;
    static final int START_SPREAD_MILLIS = 250;
    private static final double STORE_MEGABITS = 4_000;

    private final VirtualScheduler scheduler = new VirtualScheduler();
    private final VirtualNetwork network = new VirtualNetwork(scheduler);
    private final VirtualStore store = new VirtualStore(scheduler, network);
    private final Map<String, VirtualRouter> routers = new LinkedHashMap<>();
    private final Random random = new Random(20_261_203);
    private final List<FleetRouter> places = new ArrayList<>();

    /**
     * Creates a fleet that has not been started.
     *
     * @param count how many routers
     * @param dataCentres in how many data centres
     * @param endpoints how many endpoints are listed
     * @param megabits each router's link
     */
    VirtualFleet(int count, int dataCentres, int endpoints, double megabits) {
        network.add(VirtualStore.HOST, STORE_MEGABITS);
        for (int number = 0; number < count; number++) {
            int place = number % dataCentres;
            Address address = new Address("10." + place + ".0." + (1 + number / dataCentres), PEER_PORT);
            places.add(new FleetRouter(address, new DataCentre("dc-" + place), 1));
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
        store.list(listed);
    }

    /** Starts all routers within a quarter of a second. */
    void startAll() {
        List<Address> seeds = seeds();
        for (FleetRouter place : places) {
            scheduler.schedule(() -> start(place, seeds), random.nextInt(START_SPREAD_MILLIS), TimeUnit.MILLISECONDS);
        }
    }

    private List<Address> seeds() {
        return places.stream().limit(SEEDS).map(FleetRouter::address).toList();
    }

    private void start(FleetRouter place, List<Address> seeds) {
        VirtualRouter router = new VirtualRouter(this, place);
        routers.put(place.id(), router);
        router.start(seeds);
    }

    /** Ends a process without a word. */
    void kill(String id) {
        VirtualRouter router = routers.remove(id);
        if (router != null) {
            router.kill();
        }
    }

    /** Ends a router's process and starts another one at its place, by the number in the order of places. */
    void restart(int number) {
        FleetRouter place = places.get(number);
        kill(place.id());
        start(place, seeds());
    }

    /** Ends all processes at the same moment, and starts them again. */
    void restartAll() {
        places.forEach(place -> kill(place.id()));
        places.forEach(place -> start(place, seeds()));
    }

    /** Lets time pass. */
    void pass(Duration time) {
        scheduler.pass(time);
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
     * Returns a configuration: one route a line, with names that do not repeat. A version differs from the one before it in its
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
