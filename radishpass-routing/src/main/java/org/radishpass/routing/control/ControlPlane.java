package org.radishpass.routing.control;

import static net.logstash.logback.argument.StructuredArguments.kv;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.peer.transport.PeerHandler;
import org.radishpass.peer.transport.PeerLinks;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.fleet.DirectoryOrigin;
import org.radishpass.routing.fleet.EndpointEligibility;
import org.radishpass.routing.fleet.FleetMembers;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.fleet.RegionMap;
import org.radishpass.routing.load.WorkSource;
import org.radishpass.routing.quarantine.RequestFingerprint;
import org.radishpass.routing.quarantine.Suspect;
import org.radishpass.routing.quarantine.SuspectListener;
import org.radishpass.routing.quarantine.SuspectReport;
import org.radishpass.routing.quarantine.SuspectSource;
import org.radishpass.routing.traffic.MonotonicClock;
import org.radishpass.routing.traffic.RoutingView;
import org.radishpass.runtime.thread.ControlThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Flux;

/**
 * A router's view of its fleet, from the store and from its peers, and what it tells them. It has no sockets, thread or clock of
 * its own, so that whole fleets run in virtual time. State belongs to the control thread.
 */
final class ControlPlane {
    private static final Logger LOG = LoggerFactory.getLogger(ControlPlane.class);

    private final ControlThread thread;
    private final MonotonicClock clock;
    private final Runnable whenComplete;
    private final RegionMap regions;
    private final ConfigurationTracker configuration;
    private final DirectoryTracker directory = new DirectoryTracker();
    private final DrainTracker drains = new DrainTracker();
    private final ColdEndpoints coldEndpoints;
    private final SuspectSource suspects;
    private final StoreFollower follower;
    private final PeerExchange peers;
    private final RegistryCleaner cleaner;
    private final Registration registration;
    private final QuarantineKeeper quarantine;
    private final StoreRestore restore;
    private final Flux<Long> eras;
    private final StoreReadings readings;
    private volatile RoutingView view = RoutingView.UNKNOWN;
    private long configurationSinceMillis;

    /**
     * Creates one that knows nothing.
     *
     * @param thread the control thread
     * @param clock the clock
     * @param source the store
     * @param self this router
     * @param decoder reads configurations
     * @param work the work in flight
     * @param suspects the requests that may end their endpoints
     * @param regions where data centres stand
     * @param metrics where counters are kept
     * @param whenComplete called on the control thread when requests can be routed, and with each news after that
     */
    ControlPlane(
            ControlThread thread,
            MonotonicClock clock,
            ControlSource source,
            FleetRouter self,
            ConfigurationDecoder decoder,
            WorkSource work,
            SuspectSource suspects,
            RegionMap regions,
            MeterRegistry metrics,
            Runnable whenComplete) {
        this.thread = thread;
        this.clock = clock;
        this.whenComplete = whenComplete;
        this.suspects = suspects;
        this.regions = regions;
        this.configuration = new ConfigurationTracker(decoder);
        StoreClock storeClock = new StoreClock();
        StoreEra era = new StoreEra();
        FleetView fleet = new FleetView(configuration, directory, drains, storeClock, era);
        this.coldEndpoints = new ColdEndpoints(directory, drains, storeClock);
        this.readings = new StoreReadings(metrics, era);
        this.eras = source.eras();
        this.follower = new StoreFollower(
                thread, clock, source, fleet, new UnusableEntries(metrics), readings, new StoreNews());
        this.cleaner = new RegistryCleaner(source);
        this.registration = new Registration(thread, source, self);
        this.quarantine = new QuarantineKeeper(thread, clock, source, storeClock, suspects);
        this.peers = new PeerExchange(thread, clock, self, work, suspects, fleet, new PeerNews());
        this.restore = new StoreRestore(readings, follower, registration, quarantine, peers);
        Gauge.builder(
                        "radishpass.datacentres.drained",
                        this,
                        plane -> plane.view.eligibility().drained().size())
                .description("data centres whose endpoints get nothing new because the operator wants it")
                .register(metrics);
        Gauge.builder(
                        "radishpass.endpoints.cold",
                        this,
                        plane -> plane.view.eligibility().coldUntilMillis().size())
                .description("endpoints that bear little because they have just started, as of the last news")
                .register(metrics);
    }

    /** Starts to read the store. */
    void start() {
        eras.publishOn(thread.scheduler()).subscribe(era -> restore.eraTold(era, DirectoryOrigin.STORE));
        follower.start();
        suspects.onSuspects(new SuspectNews());
        thread.run(quarantine::read);
    }

    /**
     * Joins the peers. Called on the control thread.
     *
     * @param links the links to them
     * @param seeds where other routers may listen, known beforehand
     */
    void join(PeerLinks links, List<Address> seeds) {
        peers.start(links);
        peers.learnAddresses(seeds);
        registration.register(peers::learn);
        publish();
    }

    /** Returns what takes peers' messages. */
    PeerHandler handler() {
        return peers;
    }

    /** Returns the first message on each link. */
    PeerMessage introduction() {
        return peers.introduction();
    }

    /** Returns the view of now; from any thread. */
    RoutingView view() {
        return view;
    }

    /** Tells peers that look for it in the store no longer of this router. */
    void leave() {
        thread.run(registration::remove);
    }

    /** Learns from an answer that an endpoint's address belongs to another one now. */
    void gone(String endpointId) {
        thread.run(() -> {
            if (directory.gone(endpointId)) {
                LOG.info(
                        "the address of endpoint {} belongs to another one now",
                        endpointId,
                        LogEvent.ENDPOINT_GONE.field());
                publish();
            }
        });
    }

    /** Learns from an answer of an endpoint that it is leaving. */
    void leaving(String endpointId) {
        thread.run(() -> {
            if (directory.statedLeaving(endpointId)) {
                publish();
                peers.tellNow();
            }
        });
    }

    private void publish() {
        readings.source(directory.origin().source(), directory.reading());
        view = new RoutingView(
                configuration.current().orElse(null),
                configurationSinceMillis,
                configuration.newerExpectedUntilMillis(),
                directory.directory(),
                directory.known(),
                follower.arriving(),
                directory.origin(),
                peers.started() ? peers.routers() : RoutingView.ROUTERS_UNKNOWN,
                eligibility(),
                peers.started() && registration.done() ? peers.members() : FleetMembers.UNKNOWN);
        if (view.complete()) {
            whenComplete.run();
        }
    }

    private EndpointEligibility eligibility() {
        return new EndpointEligibility(
                drains.drained(),
                configuration
                        .current()
                        .map(current -> coldEndpoints.untilMillis(current, clock.millis()))
                        .orElse(Map.of()),
                regions);
    }

    private void drainsChanged(String origin) {
        LOG.info(
                "data centres whose endpoints get nothing new: {}, from {}",
                drains.drained(),
                origin,
                LogEvent.DRAINS.field(),
                kv("drained", drains.drained().stream().map(DataCentre::name).toList()),
                kv(
                        "positions",
                        drains.changes().stream()
                                .map(change -> change.drain().dataCentre() + " "
                                        + change.drain().position())
                                .toList()));
        publish();
        peers.tellNow();
    }

    /** Hears what the store brought. */
    private final class StoreNews implements StoreFollower.Listener {
        @Override
        public void eraRead(long era) {
            restore.eraTold(era, DirectoryOrigin.STORE);
        }

        @Override
        public void drains(DrainReading reading) {
            if (drains.read(reading, clock.millis())) {
                drainsChanged("store");
            }
            if (drains.awaitsRows()) {
                thread.after(Duration.ofMillis(DrainTracker.GRACE_MILLIS), this::expireDrains);
            }
        }

        private void expireDrains() {
            if (drains.expire(clock.millis())) {
                drainsChanged("store");
            }
        }

        @Override
        public void configurationChanged() {
            configurationSinceMillis = clock.millis();
            publish();
            peers.tellNow();
        }

        @Override
        public void arrivalChanged() {
            publish();
        }

        @Override
        public void directoryRead() {
            publish();
            peers.tellNow();
        }

        @Override
        public void storeBack() {
            peers.probeSoon();
        }

        @Override
        public ReadingDuty duty() {
            return peers.duty();
        }
    }

    /** Hears what this router has found out of requests that may end their endpoints. */
    private final class SuspectNews implements SuspectListener {
        @Override
        public void found(SuspectReport news) {
            thread.run(() -> peers.tellSuspects(news));
        }

        @Override
        public void quarantined(Suspect suspect) {
            thread.run(() -> quarantine.quarantined(suspect));
        }

        @Override
        public void released(RequestFingerprint request) {
            thread.run(() -> quarantine.released(request));
        }
    }

    /** Hears what peers brought. */
    private final class PeerNews implements PeerExchange.Listener {
        @Override
        public void storeEraTold(long era, String origin) {
            restore.eraTold(era, origin);
        }

        @Override
        public void newerConfigurationExists() {
            publish();
        }

        @Override
        public void configurationOffered(byte[] content, String origin) {
            follower.offer(content, origin);
        }

        @Override
        public void drainsChanged(String origin) {
            ControlPlane.this.drainsChanged(origin);
        }

        @Override
        public void endpointsLeaving(List<String> endpointIds, String origin) {
            endpointIds.forEach(id -> LOG.info(
                    "endpoint {} is draining, as its answer to another router stated",
                    id,
                    LogEvent.ENDPOINT_LEAVING.field(),
                    kv("source", origin)));
            publish();
            peers.tellNow();
        }

        @Override
        public void endpointsChanged() {
            publish();
        }

        @Override
        public void routersChanged() {
            publish();
        }

        @Override
        public void routersForgotten(List<FleetRouter> routers) {
            publish();
            if (peers.duty().readsDirectory()) {
                cleaner.clean(routers).subscribe();
            }
        }
    }
}
