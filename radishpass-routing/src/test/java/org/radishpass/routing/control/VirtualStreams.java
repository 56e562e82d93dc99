package org.radishpass.routing.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.fleet.SoftwareVersion;
import org.radishpass.routing.stream.KnownOrigin;
import org.radishpass.routing.stream.StreamOrigin;

/** Streams of callers who take them up at other routers, in a fleet in virtual time. It knows what began each stream. */
final class VirtualStreams {
    /** The time for which a stream can be taken up: a timeout of 12 s, see {@link KnownOrigin#lifetimeMillis}. */
    static final long TIMEOUT_MILLIS = 12_000;

    private static final long LIFETIME_MILLIS = KnownOrigin.lifetimeMillis(TIMEOUT_MILLIS);

    /** Longer than a router that has just started lets a stream wait, and asks others. */
    private static final Duration ANSWER = Duration.ofSeconds(3);

    private final VirtualFleet fleet;
    private final List<Begun> streams = new ArrayList<>();
    private int lastNumber;

    VirtualStreams(VirtualFleet fleet) {
        this.fleet = fleet;
    }

    /** Lists endpoints, as many of each version as its name is given. */
    void list(String... versions) {
        List<ServiceEndpoint> listed = new ArrayList<>();
        for (String version : versions) {
            String name = "e-" + version + "-" + listed.size();
            listed.add(new ServiceEndpoint(
                            name,
                            VirtualRouter.SERVICE,
                            new Address("10.9.0." + (1 + listed.size()), 80),
                            new DataCentre("dc-0"),
                            6,
                            false)
                    .withSoftwareVersion(new SoftwareVersion(version)));
        }
        fleet.store().listEndpoints(listed);
    }

    /** Begins one stream at each router, at its endpoints in turn, and returns how many have begun. */
    int begin() {
        int begun = 0;
        int number = 0;
        for (VirtualRouter router : fleet.routers()) {
            List<ServiceEndpoint> endpoints = router.endpointsForNewStreams();
            number++;
            if (!endpoints.isEmpty()) {
                begin(router, endpoints.get((lastNumber + number) % endpoints.size()));
                begun++;
            }
        }
        return begun;
    }

    private void begin(VirtualRouter router, ServiceEndpoint endpoint) {
        String id = "stream-" + ++lastNumber;
        StreamOrigin origin = StreamOrigin.of(endpoint);
        streams.add(new Begun(id, origin));
        router.streams()
                .began(
                        KnownOrigin.begun(
                                KnownOrigin.hash("workspace", id),
                                origin,
                                fleet.scheduler().millis() + TIMEOUT_MILLIS),
                        LIFETIME_MILLIS);
    }

    /** Begins streams at all routers repeatedly. */
    void beginFor(Duration time, Duration pause) {
        for (Duration passed = Duration.ZERO; passed.compareTo(time) < 0; passed = passed.plus(pause)) {
            begin();
            fleet.advance(pause);
        }
    }

    /** Takes up all streams that have begun so far, each at one router, and forgets them. */
    Outcome takeUp() {
        AtomicInteger wentOn = new AtomicInteger();
        AtomicInteger unknown = new AtomicInteger();
        AtomicInteger gone = new AtomicInteger();
        Set<String> wrong = new HashSet<>();
        List<VirtualRouter> routers = List.copyOf(fleet.routers());
        int number = 0;
        for (Begun stream : streams) {
            VirtualRouter router = routers.get(++number % routers.size());
            boolean serves = fleet.store().endpoints().stream().anyMatch(stream.origin()::continuableAt);
            router.streams()
                    .resolve(
                            KnownOrigin.hash("workspace", stream.id()),
                            VirtualRouter.SERVICE,
                            LIFETIME_MILLIS,
                            (origin, source) -> {
                                if (!serves) {
                                    gone.incrementAndGet();
                                }
                                if (origin.isEmpty()) {
                                    unknown.addAndGet(serves ? 1 : 0);
                                } else if (!origin.get().equals(stream.origin())) {
                                    wrong.add(stream.id() + " of " + stream.origin() + " taken for " + origin.get()
                                            + ", " + source);
                                } else {
                                    wentOn.addAndGet(serves ? 1 : 0);
                                }
                            });
        }
        int all = streams.size();
        streams.clear();
        fleet.advance(ANSWER);
        return new Outcome(all, wentOn.get(), unknown.get(), gone.get(), wrong);
    }

    /** A stream and what began it. */
    private record Begun(String id, StreamOrigin origin) {}

    /**
     * What became of streams that were taken up.
     *
     * @param all the number of streams
     * @param wentOn those that go on at the version that began them
     * @param unknown those that are refused although their version serves
     * @param gone those whose version does not serve any more
     * @param wrong those that go on at another version
     */
    record Outcome(int all, int wentOn, int unknown, int gone, Set<String> wrong) {
        /** Returns the share that goes on, of those whose version serves. */
        double share() {
            return wentOn + unknown == 0 ? 1 : (double) wentOn / (wentOn + unknown);
        }
    }
}
