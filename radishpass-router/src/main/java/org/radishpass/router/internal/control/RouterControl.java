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
 * The control state of a router: fleet, configuration and slots, all on one thread, published as snapshots.
 *
 * @since 0.1.0
 */
public final class RouterControl implements PeerHandler, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(RouterControl.class);
    private static final Duration EXCHANGE_PERIOD = Duration.ofMillis(200);
    private static final Duration GONE_AFTER = Duration.ofSeconds(3);
    private static final Duration REFRESH_PERIOD = Duration.ofSeconds(1);

    private final RouterSettings settings;
    private final String incarnation;
    private final ControlThread control = new ControlThread("control");
    private final PeerNode peers;
    private final ConfigurationTracker configuration;
    private final FleetTracker fleet;
    private final SlotOwner slots;
    private final VmListClient vmList;
    private final EndpointReporting reporting;
    private final PeerGreetings greetings;
    private final List<Runnable> fleetListeners = new ArrayList<>();
    private volatile Function<PeerMessage.TicketRun, Mono<PeerMessage>> ticketHandler =
            run -> Mono.just(new PeerMessage.Done());
    private volatile RouterSnapshot snapshot = RouterSnapshot.initial();
    private boolean stopping;

    /**
     * Creates the control state and listens for peers.
     *
     * @param settings the router's settings
     * @param incarnation which start of the router this is
     * @param runtime event loops and clients
     * @param store the configuration's store
     * @param vmList the platform's list
     * @param metrics where metrics are kept
     * @param meter counts the bytes of control traffic
     * @param clock tells the time
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
        this.configuration = new ConfigurationTracker(control, store, peers, metrics, this::configurationChanged);
        this.greetings = new PeerGreetings(settings.id(), peers, configuration);
        this.slots = new SlotOwner(settings.id(), control, peers, clock);
        this.fleet = new FleetTracker(
                control, new EndpointProbe(runtime.client(), meter), clock, this::probed, this::fleetChanged);
        this.reporting = new EndpointReporting(settings.id(), peers, slots, fleet);
    }

    /** Starts the periodic work. */
    public void start() {
        control.run(this::pollList);
        control.run(configuration::poll);
        control.every(Duration.ofMillis(settings.listPollMillis()), this::pollList);
        control.every(Duration.ofMillis(settings.headPollMillis()), configuration::poll);
        control.every(Duration.ofMillis(settings.probeMillis()), this::probe);
        control.every(EXCHANGE_PERIOD, () -> slots.exchange(snapshot.fleet()));
        control.every(
                REFRESH_PERIOD, () -> reporting.refreshOne(snapshot.fleet().vms()));
    }

    /** Returns the newest snapshot. */
    public RouterSnapshot snapshot() {
        return snapshot;
    }

    /**
     * Returns the load that an endpoint last reported to this router, 0 if it has not.
     *
     * @param endpointId the endpoint
     */
    public int reportedLoad(String endpointId) {
        return reporting.load(endpointId);
    }

    /** Returns the links to peers. */
    public PeerNode peers() {
        return peers;
    }

    /** Returns the control thread. */
    public ControlThread thread() {
        return control;
    }

    /** Returns this router's identity. */
    public String id() {
        return settings.id();
    }

    /** Returns which start of the router this is. */
    public String incarnation() {
        return incarnation;
    }

    /**
     * Answers a slot request of this router's own traffic.
     *
     * @param wanted what is asked
     */
    public Mono<PeerMessage> reserveHere(PeerMessage.SlotWanted wanted) {
        return control.call(() -> slots.reserve(settings.id(), wanted));
    }

    /**
     * Frees a slot of this router's own traffic.
     *
     * @param freed the slot
     */
    public void releaseHere(PeerMessage.SlotFreed freed) {
        control.run(() -> slots.release(settings.id(), freed));
    }

    /**
     * Takes over a slot of this router's own traffic.
     *
     * @param held the slot
     */
    public void adoptHere(PeerMessage.SlotHeld held) {
        control.run(() -> slots.adopt(settings.id(), held));
    }

    /**
     * Has a task run on the control thread after each change of the fleet.
     *
     * @param listener the task
     */
    public void onFleetChange(Runnable listener) {
        fleetListeners.add(listener);
    }

    /**
     * Sets who serves calls that peers pass on because their tickets were given out here.
     *
     * @param handler serves them
     */
    public void onTicket(Function<PeerMessage.TicketRun, Mono<PeerMessage>> handler) {
        ticketHandler = handler;
    }

    /** Tells the peers that this router stops, and is not ready from now on. */
    public void leave() {
        control.run(() -> {
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
        return control.call(() -> answer(from, message));
    }

    @Override
    public void disconnected(String from) {
        control.after(GONE_AFTER, () -> {
            if (snapshot.fleet().vm(from).isEmpty()) {
                slots.book().releaseAllOf(from);
            }
        });
    }

    @Override
    public void close() {
        peers.close();
        control.close();
    }

    private PeerMessage answer(String from, PeerMessage message) {
        if (message instanceof PeerMessage.SlotWanted wanted) {
            return slots.reserve(from, wanted);
        }
        if (message instanceof PeerMessage.PoolParts parts) {
            return slots.addUp(from, parts);
        }
        if (message instanceof PeerMessage.ChangesWanted wanted) {
            return configuration.answer(wanted.after());
        }
        take(from, message);
        return new PeerMessage.Done();
    }

    private void take(String from, PeerMessage message) {
        Optional<Vm> sender = snapshot.fleet().vm(from);
        if (message instanceof PeerMessage.SlotFreed freed) {
            slots.release(from, freed);
        } else if (message instanceof PeerMessage.SlotHeld held) {
            slots.adopt(from, held);
        } else if (message instanceof PeerMessage.Head head) {
            configuration.heardFromPeer(sender, head.revision());
        } else if (message instanceof PeerMessage.Hello hello) {
            greeted(hello, sender);
        } else if (message instanceof PeerMessage.EndpointReports reports) {
            reports.reports().forEach(report -> fleet.take(ReportMessages.read(report)));
        } else if (message instanceof PeerMessage.Leaving leaving) {
            LOG.info("router {} is leaving", leaving.vmId());
            fleet.left(leaving.vmId());
        } else {
            LOG.warn("a message of kind {} from {} was not expected", message.kind(), from);
        }
    }

    private void greeted(PeerMessage.Hello hello, Optional<Vm> sender) {
        configuration.heardFromPeer(sender, hello.revision());
        sender.ifPresent(reporting::tell);
    }

    private PeerMessage hello() {
        return new PeerMessage.Hello(
                settings.id(), incarnation, configuration.current().revision());
    }

    private void pollList() {
        vmList.list()
                .publishOn(control.scheduler())
                .subscribe(fleet::take, error -> LOG.debug("the VM list did not answer: {}", error.getMessage()));
    }

    private void probe() {
        boolean everyone = configuration.current().policy().needsReports();
        fleet.probe(everyone ? snapshot.fleet().endpoints() : slots.owned());
    }

    private void probed(EndpointReport report) {
        reporting.probed(report, snapshot.fleet().vms());
    }

    private void configurationChanged(boolean fromStore) {
        publish();
        if (fromStore) {
            broadcast(new PeerMessage.Head(configuration.current().revision()));
        }
    }

    private void fleetChanged() {
        FleetView view = fleet.view();
        Map<String, Vm> owners = OwnerSelection.ofAll(view.endpoints(), view.vms());
        slots.fleetChanged(view, owners);
        publish(view, owners);
        peers.retain(id -> view.vm(id).isPresent());
        greetings.greetNew(view);
        fleetListeners.forEach(Runnable::run);
    }

    private void publish() {
        publish(snapshot.fleet(), snapshot.owners());
    }

    private void publish(FleetView view, Map<String, Vm> owners) {
        boolean ready = !stopping && configuration.known() && fleet.listed();
        snapshot = new RouterSnapshot(view, owners, configuration.current(), ready);
    }

    private void broadcast(PeerMessage message) {
        for (Vm vm : snapshot.fleet().vms()) {
            if (!vm.id().equals(settings.id())) {
                peers.send(vm, message);
            }
        }
    }
}
