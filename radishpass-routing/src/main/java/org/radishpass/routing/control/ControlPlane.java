package org.radishpass.routing.control;

import static net.logstash.logback.argument.StructuredArguments.kv;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.peer.transport.PeerHandler;
import org.radishpass.peer.transport.PeerLinks;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.fleet.DirectoryOrigin;
import org.radishpass.routing.fleet.EndpointEligibility;
import org.radishpass.routing.fleet.FleetMembers;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.fleet.RegionMap;
import org.radishpass.routing.fleet.StorePosition;
import org.radishpass.routing.load.WorkReportExchange;
import org.radishpass.routing.quarantine.CrashCause;
import org.radishpass.routing.quarantine.Suspect;
import org.radishpass.routing.quarantine.SuspectExchange;
import org.radishpass.routing.quarantine.SuspectListener;
import org.radishpass.routing.quarantine.SuspectReport;
import org.radishpass.routing.stream.StreamOriginExchange;
import org.radishpass.routing.stream.StreamVersionRecord;
import org.radishpass.routing.traffic.MonotonicClock;
import org.radishpass.routing.traffic.RoutingView;
import org.radishpass.runtime.thread.ControlThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Flux;

/**
 * Keeps a router's view of its fleet up to date from the store and from its peers, and reports to the peers. It has no
 * sockets, thread or clock of its own, so that tests can run whole fleets in virtual time. Mutable state is confined to
 * the control thread.
 */
final class ControlPlane {
    private static final Logger LOG = LoggerFactory.getLogger(ControlPlane.class);

    /** Milliseconds over which routers that start and do not know each other yet spread what only one of them has to do. */
    private static final int START_STAGGER_MILLIS = 150;

    private final ControlThread thread;
    private final MonotonicClock clock;
    private final Runnable onRoutable;
    private final RegionMap regions;
    private final String selfId;
    private final ConfigurationTracker configuration;
    private final DirectoryTracker directory = new DirectoryTracker();
    private final DrainTracker drains = new DrainTracker();
    private final ColdEndpoints coldEndpoints;
    private final SuspectExchange suspects;
    private final StoreFollower follower;
    private final PeerExchange peers;
    private final RegistryCleaner registryCleaner;
    private final Registration registration;
    private final QuarantinePersistence quarantine;
    private final StoreRestoreHandler restoreHandler;
    private final Flux<Long> eras;
    private final StoreReadMonitor readMonitor;
    private final StreamVersionKeeper streamVersions;
    private final StreamSettling settling;
    private volatile RoutingView view = RoutingView.UNKNOWN;
    private long configurationSinceMillis;

    /**
     * Creates a control plane with an empty view.
     *
     * @param thread the control thread
     * @param clock the monotonic clock
     * @param source the store
     * @param self this router
     * @param decoder decodes configurations
     * @param work the work in flight of this router and its group
     * @param suspects the requests that are suspected of crashing their endpoints
     * @param streams what is known of what began streams
     * @param regions the region of each data centre
     * @param metrics the registry of the metrics
     * @param onRoutable called on the control thread once requests can be routed, and after each later change of the
     *     view
     */
    ControlPlane(
            ControlThread thread,
            MonotonicClock clock,
            ControlSource source,
            FleetRouter self,
            ConfigurationDecoder decoder,
            WorkReportExchange work,
            SuspectExchange suspects,
            StreamOriginExchange streams,
            RegionMap regions,
            MeterRegistry metrics,
            Runnable onRoutable) {
        this.thread = thread;
        this.clock = clock;
        this.onRoutable = onRoutable;
        this.suspects = suspects;
        this.regions = regions;
        this.selfId = self.id();
        this.configuration = new ConfigurationTracker(decoder);
        StoreClock storeClock = new StoreClock();
        StoreEra era = new StoreEra();
        ControlState controlState =
                new ControlState(configuration, directory, drains, storeClock, era, new StreamVersionTracker());
        StreamOriginJournal journal =
                new StreamOriginJournal(thread, clock, source, self, storeClock, streams, metrics);
        this.settling = new StreamSettling(thread, streams, controlState.streamVersions(), journal);
        this.streamVersions =
                new StreamVersionKeeper(thread, clock, source, controlState, streams, new StreamVersionListener());
        this.coldEndpoints = new ColdEndpoints(directory, drains, storeClock);
        this.readMonitor = new StoreReadMonitor(metrics, era);
        this.eras = source.eras();
        this.follower = new StoreFollower(
                thread, clock, source, controlState, new UnusableEntries(metrics), readMonitor, new StoreListener());
        this.registryCleaner = new RegistryCleaner(source);
        this.registration = new Registration(thread, source, self);
        this.quarantine = new QuarantinePersistence(thread, clock, source, storeClock, suspects);
        this.peers = new PeerExchange(
                thread, clock, self, work, suspects, streams, journal, controlState, new PeerListener());
        this.restoreHandler = new StoreRestoreHandler(readMonitor, follower, registration, quarantine, peers);
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
        eras.publishOn(thread.scheduler()).subscribe(era -> restoreHandler.eraObserved(era, DirectoryOrigin.STORE));
        follower.start();
        suspects.setSuspectListener(new SuspectReportListener());
        thread.run(quarantine::load);
        settling.start();
        streamVersions.start();
    }

    /**
     * Connects this router to its peers, and registers it in the store. Called on the control thread.
     *
     * @param links sends messages to peers
     * @param seeds addresses where other routers may listen for peers
     */
    void join(PeerLinks links, List<Address> seeds) {
        peers.start(links);
        peers.learnAddresses(seeds);
        registration.register(this::registered);
        publish();
    }

    /** Learns the registered routers, which tell whether the record of software versions can be trusted. */
    private void registered(Collection<FleetRouter> routers) {
        peers.addRouters(routers);
        streamVersions.check();
        settling.update(peers);
    }

    /** Returns the handler of messages from peers. */
    PeerHandler handler() {
        return peers;
    }

    /** Returns the message that opens each connection to a peer. */
    PeerMessage introduction() {
        return peers.introduction();
    }

    /** Returns the current routing view. May be called from any thread. */
    RoutingView view() {
        return view;
    }

    /**
     * Removes this router's registration from the store, so that starting routers no longer find it there. May be
     * called from any thread.
     */
    void leave() {
        thread.run(registration::remove);
    }

    /**
     * Records that a response came from another endpoint than the one listed at its address. May be called from any
     * thread.
     */
    void addressTakenOver(String endpointId) {
        thread.run(() -> {
            if (directory.addressTakenOver(endpointId)) {
                LOG.info(
                        "endpoint {} is treated as leaving, because its address now belongs to another endpoint",
                        endpointId,
                        LogEvent.ENDPOINT_GONE.field());
                publish();
            }
        });
    }

    /** Records that an endpoint stated in a response that it is leaving. May be called from any thread. */
    void endpointLeaving(String endpointId) {
        thread.run(() -> {
            if (directory.statedLeaving(endpointId)) {
                publish();
                peers.reportNow();
            }
        });
    }

    private void publish() {
        readMonitor.listSourceObserved(directory.origin().source(), directory.listVersion());
        view = new RoutingView(
                configuration.current().orElse(null),
                configurationSinceMillis,
                configuration.newerExpectedUntilMillis(),
                directory.directory(),
                directory.known() && streamVersions.ready(),
                follower.knownOrReceiving(),
                directory.origin(),
                peers.started() ? peers.routerCount() : RoutingView.ROUTERS_UNKNOWN,
                eligibility(),
                peers.started() && registration.registered() ? peers.members() : FleetMembers.UNKNOWN);
        if (view.complete()) {
            onRoutable.run();
        }
    }

    private EndpointEligibility eligibility() {
        return new EndpointEligibility(
                drains.drained(),
                configuration
                        .current()
                        .map(current -> coldEndpoints.coldUntilMillisById(current, clock.millis()))
                        .orElse(Map.of()),
                regions,
                streamVersions.endpointsWithoutNewStreams());
    }

    private void drainsChanged(String origin) {
        LOG.info(
                "drained data centres, whose endpoints get no new requests: {}; reported by {}",
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
        peers.reportNow();
    }

    /** Applies what was read from the store. */
    private final class StoreListener implements StoreFollower.Listener {
        @Override
        public void eraRead(long era) {
            restoreHandler.eraObserved(era, DirectoryOrigin.STORE);
        }

        @Override
        public void drains(DrainReport report) {
            if (drains.apply(report, clock.millis())) {
                drainsChanged("store");
            }
            if (drains.hasMissingRows()) {
                thread.scheduleAfter(Duration.ofMillis(DrainTracker.GRACE_MILLIS), this::expireDrains);
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
            peers.reportNow();
        }

        @Override
        public void receivingChanged() {
            publish();
        }

        @Override
        public void directoryRead() {
            publish();
            streamVersions.check();
            peers.reportNow();
        }

        @Override
        public void storeBack() {
            peers.probeSoon();
        }

        @Override
        public StoreReadScope storeReadScope() {
            return peers.storeReadScope();
        }
    }

    /**
     * Distributes and saves what this router finds out about requests that are suspected of crashing their endpoints.
     */
    private final class SuspectReportListener implements SuspectListener {
        @Override
        public void found(SuspectReport report) {
            thread.run(() -> peers.reportSuspects(report));
        }

        @Override
        public void quarantined(Suspect suspect) {
            thread.run(() -> quarantine.save(suspect));
        }

        @Override
        public void released(CrashCause cause) {
            thread.run(() -> quarantine.remove(cause));
        }
    }

    /** Connects the record of software versions with the rest of this router. */
    private final class StreamVersionListener implements StreamVersionKeeper.Listener {
        @Override
        public boolean readsDirectory() {
            return peers.storeReadScope().readsDirectory();
        }

        @Override
        public int routers() {
            return peers.routerCount();
        }

        @Override
        public boolean allRoutersRecordVersions() {
            return registration.registered() && peers.allRecordStreamVersions();
        }

        @Override
        public Duration staggeredDelay() {
            return peers.started() && registration.registered()
                    ? peers.staggeredDelay(directory.listVersion().position().era())
                    : Duration.ofMillis(Math.floorMod(Rendezvous.hash(selfId), START_STAGGER_MILLIS));
        }

        @Override
        public void streamVersionsChanged() {
            publish();
            if (registration.registered()) {
                settling.update(peers);
            }
        }

        @Override
        public void tellStreamVersions() {
            peers.tellStreamVersions();
        }
    }

    /** Applies what peers reported. */
    private final class PeerListener implements PeerExchange.Listener {
        @Override
        public void storeEraReceived(long era, String origin) {
            restoreHandler.eraObserved(era, origin);
        }

        @Override
        public void newerConfigurationExists() {
            publish();
        }

        @Override
        public void configurationReceived(byte[] content, String origin) {
            follower.offer(content, origin);
        }

        @Override
        public void drainsChanged(String origin) {
            ControlPlane.this.drainsChanged(origin);
        }

        @Override
        public void endpointsLeaving(List<String> endpointIds, String origin) {
            endpointIds.forEach(id -> LOG.info(
                    "endpoint {} is leaving, as it stated in a response to another router",
                    id,
                    LogEvent.ENDPOINT_LEAVING.field(),
                    kv("source", origin)));
            publish();
            peers.reportNow();
        }

        @Override
        public void endpointsChanged() {
            publish();
            streamVersions.check();
        }

        @Override
        public void streamVersionsWanted(Consumer<Boolean> done) {
            streamVersions.confirm(done);
        }

        @Override
        public void streamVersionsReceived(StreamVersionRecord record, StorePosition writtenAt) {
            streamVersions.receive(record, writtenAt);
        }

        @Override
        public void routersAdded() {
            publish();
            streamVersions.check();
        }

        @Override
        public void routersExpired(List<FleetRouter> routers) {
            publish();
            if (peers.storeReadScope().readsDirectory()) {
                registryCleaner.clean(routers).subscribe();
            }
        }
    }
}
