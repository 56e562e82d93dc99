package org.radishpass.router.internal.control;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.radishpass.core.fleet.FleetView;
import org.radishpass.core.fleet.Vm;
import org.radishpass.core.load.OwnerSelection;
import org.radishpass.core.membership.EndpointReport;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.peer.transport.PeerHandler;
import org.radishpass.peer.transport.PeerNode;
import org.radishpass.router.RouterSettings;
import org.radishpass.runtime.http.HttpRuntime;
import org.radishpass.runtime.metrics.TrafficMeter;
import org.radishpass.runtime.thread.ControlThread;
import org.radishpass.tables.configuration.ConfigurationStore;
import org.radishpass.tables.vmlist.VmListClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

/**
 * Keeps the control state of a router (fleet, configuration, slot accounts) on one thread and publishes snapshots.
 *
 * @since 0.1.0
 */
public final class RouterControl implements PeerHandler, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(RouterControl.class);
    private static final Duration POOL_EXCHANGE_PERIOD = Duration.ofMillis(200);
    private static final Duration DISCONNECT_GRACE = Duration.ofSeconds(3);
    private static final Duration REPORT_REFRESH_PERIOD = Duration.ofSeconds(1);

    private final RouterSettings settings;
    private final String incarnation;
    private final ControlThread controlThread = new ControlThread("control");
    private final PeerNode peers;
    private final ConfigurationTracker configurationTracker;
    private final FleetTracker fleetTracker;
    private final SlotOwner slotOwner;
    private final VmListClient vmList;
    private final EndpointReporting reporting;
    private final NewPeerNotifier newPeers;
    private final List<Runnable> fleetListeners = new ArrayList<>();
    private volatile Function<PeerMessage.TicketRun, Mono<PeerMessage>> ticketHandler =
            run -> Mono.just(new PeerMessage.Done());
    private volatile RouterSnapshot snapshot = RouterSnapshot.initial();
    private boolean stopping;

    /**
     * Creates the control state and begins to listen for peers.
     *
     * @param settings the router's settings
     * @param incarnation the id of this start of the router
     * @param runtime the event loops and HTTP client for control traffic
     * @param store the configuration store
     * @param vmList the client of the platform's VM list
     * @param metrics the registry for metrics
     * @param meter counts the bytes of control traffic
     * @param clock the source of the current time
     */
    public RouterControl(
            RouterSettings settings,
            String incarnation,
            HttpRuntime runtime,
            ConfigurationStore store,
            VmListClient vmList,
            MeterRegistry metrics,
            TrafficMeter meter,
            Clock clock) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.vmList = vmList;
        this.peers = new PeerNode(
                new java.net.InetSocketAddress(settings.listen(), settings.peerPort()),
                runtime.loops(),
                this,
                meter,
                this::hello);
        this.configurationTracker =
                new ConfigurationTracker(controlThread, store, peers, metrics, this::onConfigurationChange);
        this.newPeers = new NewPeerNotifier(settings.id(), peers, configurationTracker);
        this.slotOwner = new SlotOwner(settings.id(), controlThread, peers, clock);
        this.fleetTracker = new FleetTracker(
                controlThread,
                new EndpointProbe(runtime.client(), meter),
                clock,
                this::onProbeResult,
                this::updateFleet);
        this.reporting = new EndpointReporting(settings.id(), peers, slotOwner, fleetTracker);
    }

    /** Starts the periodic tasks: polls, probes, exchange of pool loads and refresh of reports. */
    public void start() {
        controlThread.run(this::pollList);
        controlThread.run(configurationTracker::poll);
        controlThread.schedulePeriodically(Duration.ofMillis(settings.listPollMillis()), this::pollList);
        controlThread.schedulePeriodically(Duration.ofMillis(settings.headPollMillis()), configurationTracker::poll);
        controlThread.schedulePeriodically(Duration.ofMillis(settings.probeMillis()), this::probeEndpoints);
        controlThread.schedulePeriodically(POOL_EXCHANGE_PERIOD, () -> slotOwner.exchange(snapshot.fleet()));
        controlThread.schedulePeriodically(
                REPORT_REFRESH_PERIOD,
                () -> reporting.sendOwnedToRandomPeer(snapshot.fleet().vms()));
    }

    /** Returns the most recently published snapshot. */
    public RouterSnapshot snapshot() {
        return snapshot;
    }

    /**
     * Returns the load that an endpoint last reported to this router, or 0 if it has not reported yet.
     *
     * @param endpointId the endpoint's id
     */
    public int reportedLoad(String endpointId) {
        return reporting.lastLoad(endpointId);
    }

    /** Returns the links to peers. */
    public PeerNode peers() {
        return peers;
    }

    /** Returns the control thread. */
    public ControlThread controlThread() {
        return controlThread;
    }

    /** Returns this router's id. */
    public String id() {
        return settings.id();
    }

    /** Returns the id of this start of the router, which is different after each restart. */
    public String incarnation() {
        return incarnation;
    }

    /**
     * Reserves a slot for this router's own traffic at an endpoint that this router owns.
     *
     * @param wanted the requested slot
     */
    public Mono<PeerMessage> reserveLocally(PeerMessage.SlotWanted wanted) {
        return controlThread.call(() -> slotOwner.reserve(settings.id(), wanted));
    }

    /**
     * Releases a slot of this router's own traffic at an endpoint that this router owns.
     *
     * @param freed the slot
     */
    public void releaseLocally(PeerMessage.SlotFreed freed) {
        controlThread.run(() -> slotOwner.release(settings.id(), freed));
    }

    /**
     * Adds a slot that this router's own traffic holds to the accounts, after this router became the endpoint's owner.
     *
     * @param held the slot
     */
    public void adoptLocally(PeerMessage.SlotHeld held) {
        controlThread.run(() -> slotOwner.adopt(settings.id(), held));
    }

    /**
     * Registers a task that runs on the control thread after each change of the fleet.
     *
     * @param listener the task
     */
    public void onFleetChange(Runnable listener) {
        fleetListeners.add(listener);
    }

    /**
     * Sets the handler of calls that peers forward to this router because this router issued their tickets.
     *
     * @param handler executes a forwarded call and returns the reply
     */
    public void setTicketHandler(Function<PeerMessage.TicketRun, Mono<PeerMessage>> handler) {
        ticketHandler = handler;
    }

    /** Marks this router as not ready and notifies all peers that it is leaving. */
    public void announceLeaving() {
        controlThread.run(() -> {
            stopping = true;
            broadcast(new PeerMessage.Leaving(settings.id()));
            publish();
        });
    }

    @Override
    public Mono<PeerMessage> handle(String from, PeerMessage message) {
        if (message instanceof PeerMessage.TicketRun run) {
            return ticketHandler.apply(run);
        }
        return controlThread.call(() -> handleOnControlThread(from, message));
    }

    @Override
    public void disconnected(String from) {
        controlThread.scheduleAfter(DISCONNECT_GRACE, () -> {
            if (snapshot.fleet().vm(from).isEmpty()) {
                slotOwner.accounts().releaseAllOf(from);
            }
        });
    }

    @Override
    public void close() {
        peers.close();
        controlThread.close();
    }

    private PeerMessage handleOnControlThread(String from, PeerMessage message) {
        if (message instanceof PeerMessage.SlotWanted wanted) {
            return slotOwner.reserve(from, wanted);
        }
        if (message instanceof PeerMessage.PoolParts parts) {
            return slotOwner.addParts(from, parts);
        }
        if (message instanceof PeerMessage.ChangesWanted wanted) {
            return configurationTracker.changesAfter(wanted.after());
        }
        handleNotification(from, message);
        return new PeerMessage.Done();
    }

    private void handleNotification(String from, PeerMessage message) {
        Optional<Vm> sender = snapshot.fleet().vm(from);
        if (message instanceof PeerMessage.SlotFreed freed) {
            slotOwner.release(from, freed);
        } else if (message instanceof PeerMessage.SlotHeld held) {
            slotOwner.adopt(from, held);
        } else if (message instanceof PeerMessage.Head head) {
            configurationTracker.onPeerRevision(sender, head.revision());
        } else if (message instanceof PeerMessage.Hello hello) {
            onHello(hello, sender);
        } else if (message instanceof PeerMessage.EndpointReports reports) {
            reports.reports().forEach(report -> fleetTracker.update(ReportMessages.decode(report)));
        } else if (message instanceof PeerMessage.Leaving leaving) {
            LOG.info("router {} announced that it is leaving and is marked as leaving", leaving.vmId());
            fleetTracker.markLeaving(leaving.vmId());
        } else {
            LOG.warn("ignored an unexpected message of kind {} from {}", message.kind(), from);
        }
    }

    private void onHello(PeerMessage.Hello hello, Optional<Vm> sender) {
        configurationTracker.onPeerRevision(sender, hello.revision());
        sender.ifPresent(reporting::sendOwnedTo);
    }

    private PeerMessage hello() {
        return new PeerMessage.Hello(
                settings.id(), incarnation, configurationTracker.current().revision());
    }

    private void pollList() {
        vmList.list()
                .publishOn(controlThread.scheduler())
                .subscribe(
                        fleetTracker::update,
                        error -> LOG.debug("cannot read the VM list; the next poll retries: {}", error.getMessage()));
    }

    private void probeEndpoints() {
        boolean probeAll = configurationTracker.current().policy().needsReports();
        fleetTracker.probe(probeAll ? snapshot.fleet().endpoints() : slotOwner.owned());
    }

    private void onProbeResult(EndpointReport report) {
        reporting.onProbeResult(report, snapshot.fleet().vms());
    }

    private void onConfigurationChange(boolean fromStore) {
        publish();
        if (fromStore) {
            broadcast(new PeerMessage.Head(configurationTracker.current().revision()));
        }
    }

    private void updateFleet() {
        FleetView view = fleetTracker.view();
        Map<String, Vm> owners = OwnerSelection.endpointOwners(view.endpoints(), view.vms());
        slotOwner.updateOwnership(view, owners);
        publish(view, owners);
        peers.retainLinks(id -> view.vm(id).isPresent());
        newPeers.notifyNewPeers(view);
        fleetListeners.forEach(Runnable::run);
    }

    private void publish() {
        publish(snapshot.fleet(), snapshot.owners());
    }

    private void publish(FleetView view, Map<String, Vm> owners) {
        boolean ready = !stopping && configurationTracker.revisionKnown() && fleetTracker.listReceived();
        snapshot = new RouterSnapshot(view, owners, configurationTracker.current(), ready);
    }

    private void broadcast(PeerMessage message) {
        for (Vm vm : snapshot.fleet().vms()) {
            if (!vm.id().equals(settings.id())) {
                peers.send(vm, message);
            }
        }
    }
}
