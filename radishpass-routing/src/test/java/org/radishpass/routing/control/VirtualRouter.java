package org.radishpass.routing.control;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.fleet.Vm;
import org.radishpass.peer.message.Envelope;
import org.radishpass.peer.message.PeerCodec;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.peer.transport.PeerLinks;
import org.radishpass.routing.config.RoutingConfiguration;
import org.radishpass.routing.fleet.FleetMembers;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.fleet.RegionMap;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.load.InFlight;
import org.radishpass.routing.load.InFlightTracker;
import org.radishpass.routing.load.WorkReport;
import org.radishpass.routing.load.WorkReportExchange;
import org.radishpass.routing.reachability.PartitionTable;
import org.radishpass.routing.reachability.RouterPartition;
import org.radishpass.routing.reachability.UnreachedService;
import org.radishpass.routing.relay.RelayPeers;
import org.radishpass.routing.report.FleetObservations;
import org.radishpass.routing.stream.StreamOriginRegistry;
import org.radishpass.routing.testing.VirtualProcess;
import org.radishpass.routing.traffic.RoutingView;
import org.radishpass.runtime.thread.ControlThread;
import reactor.core.publisher.Mono;

/** Runs the complete control side of one router in virtual time. */
final class VirtualRouter {
    private static final Duration JOIN_DELAY = Duration.ofMillis(400);
    /** The service of all endpoints. */
    static final String SERVICE = "orders";

    private static final int FRAME_BYTES = 4;
    private static final long DIAL_TIMEOUT_MILLIS = 500;

    private final VirtualFleet fleet;
    private final FleetRouter self;
    private final VirtualProcess process;
    private final ControlThread thread;
    private final VirtualSuspects suspects;
    private final Work work;
    private final StreamOriginRegistry streams;
    private final ControlPlane control;
    private final Links links = new Links();
    private final Map<Long, Long> inForceAtMillis = new HashMap<>();
    private boolean joined;
    private int dialledLinks;
    private int droppedLinks;

    VirtualRouter(VirtualFleet fleet, FleetRouter self) {
        this.fleet = fleet;
        this.self = self;
        this.process = new VirtualProcess(fleet.scheduler());
        this.thread = new ControlThread(process);
        this.suspects = new VirtualSuspects(fleet.scheduler()::millis);
        this.work = new Work();
        this.streams = new StreamOriginRegistry(
                thread::run,
                fleet.scheduler()::millis,
                task -> thread.scheduleAfter(Duration.ofMillis(StreamOriginRegistry.TELL_DELAY_MILLIS), task));
        this.control = new ControlPlane(
                thread,
                fleet.scheduler()::millis,
                fleet.store().link(self.id()),
                self,
                VirtualRouter::decode,
                work,
                suspects,
                streams,
                RegionMap.EMPTY,
                new SimpleMeterRegistry(),
                this::recordVersion);
    }

    /** Sets whether this router has lost the links to all endpoints. */
    void cutLinks(boolean cut) {
        work.cut(cut);
    }

    /** Returns the other routers to which this router can relay requests. */
    RelayPeers relayPeers() {
        return work.relayPeers;
    }

    /** Returns the partitions of other routers that this router knows. */
    PartitionTable partitions() {
        return work.partitions;
    }

    /** Returns what this router knows of the origins of streams. */
    StreamOriginRegistry streams() {
        return streams;
    }

    /** Returns the id of this router. */
    String id() {
        return self.id();
    }

    /** Returns the suspected requests of the traffic side of this router. */
    VirtualSuspects suspects() {
        return suspects;
    }

    /** Decodes a document, whose first line is its version. */
    private static RoutingConfiguration decode(byte[] content) {
        String text = new String(content, StandardCharsets.UTF_8);
        return RoutingConfiguration.builder(Long.parseLong(text.substring(0, text.indexOf('\n'))))
                .build();
    }

    void start(List<Address> seeds) {
        control.start();
        thread.scheduleAfter(JOIN_DELAY, () -> {
            joined = true;
            control.join(links, seeds);
        });
    }

    /** Returns the drained data centres, to whose endpoints this router sends no new requests. */
    Set<DataCentre> drained() {
        return control.view().eligibility().drained();
    }

    /** Simulates an answer to this router in which an endpoint states that it is leaving. */
    void answeredLeaving(String endpointId) {
        control.endpointLeaving(endpointId);
    }

    /** Tells whether this router may send requests to an endpoint. */
    boolean sendsTo(String endpointId) {
        return control.view()
                .directory()
                .find(endpointId)
                .map(endpoint -> !endpoint.leaving())
                .orElse(false);
    }

    /** Returns the endpoints at which a stream may begin that can be taken up at another router. */
    List<ServiceEndpoint> endpointsForNewStreams() {
        RoutingView view = control.view();
        return view.directoryKnown()
                ? view.directory().accepting(SERVICE).stream()
                        .filter(endpoint ->
                                !view.eligibility().withoutNewStreams().contains(endpoint.id()))
                        .toList()
                : List.of();
    }

    /** Sends a request to an endpoint, which stays in flight. */
    void startRequest(String endpointId) {
        work.inFlight.started(endpointId, 1);
    }

    /** Returns the number of requests that this router knows to be in flight at an endpoint. */
    int requestsInFlight(String endpointId) {
        return work.inFlight.at(endpointId).requests();
    }

    /** Returns the routers whose names this router knows. */
    FleetMembers members() {
        return control.view().members();
    }

    /** Ends the process of this router abruptly. */
    void kill() {
        process.dispose();
        links.closeAll();
    }

    /** Freezes the process of this router, or lets the process continue. */
    void setFrozen(boolean frozen) {
        process.frozen(frozen);
    }

    FleetRouter self() {
        return self;
    }

    /** Returns the version in force at this router, or -1 before the first. */
    long version() {
        return control.view().configuration().map(RoutingConfiguration::version).orElse(-1L);
    }

    /** Tells whether this router can route requests. */
    boolean serves() {
        return control.view().complete();
    }

    /** Returns when a version or a later one came into force at this router, or {@link Long#MAX_VALUE} if none has. */
    long inForceAtMillis(long version) {
        return inForceAtMillis.entrySet().stream()
                .filter(entry -> entry.getKey() >= version)
                .mapToLong(Map.Entry::getValue)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** Returns the number of connections that this router has opened. */
    int dialledLinks() {
        return dialledLinks;
    }

    /** Returns the number of links that this router has dropped because the peer did not answer. */
    int droppedLinks() {
        return droppedLinks;
    }

    /** Returns the number of open links of this router. */
    int openLinks() {
        return links.open.size();
    }

    private void recordVersion() {
        inForceAtMillis.putIfAbsent(version(), fleet.scheduler().millis());
    }

    private void disconnectedFrom(String peer) {
        thread.run(() -> {
            if (!links.open.containsKey(peer)) {
                control.handler().disconnected(peer);
            }
        });
    }

    /** The links that this router has dialled. */
    private final class Links implements PeerLinks {
        private final Map<String, Link> open = new LinkedHashMap<>();

        @Override
        public void send(Vm peer, PeerMessage message) {
            Link link = link(peer);
            if (link != null) {
                link.write(new Envelope(0, message), bytes -> {}, () -> {});
            }
        }

        @Override
        public Mono<PeerMessage> fetch(Vm peer, PeerMessage message) {
            Link link = link(peer);
            return link == null ? Mono.error(new IOException("no link")) : link.fetch(message);
        }

        @Override
        public void closeLink(String peerId) {
            Link link = open.remove(peerId);
            if (link != null) {
                droppedLinks++;
                link.close();
            }
        }

        private void closeAll() {
            List<Link> all = new ArrayList<>(open.values());
            open.clear();
            all.forEach(Link::close);
        }

        private @Nullable Link link(Vm peer) {
            Link link = open.get(peer.id());
            if (link != null && link.other == fleet.find(peer.id()) && !link.closed) {
                return link;
            }
            return dial(peer);
        }

        private @Nullable Link dial(Vm peer) {
            VirtualRouter other = fleet.find(peer.id());
            if (other == null || !other.joined || !fleet.network().reaches(self.id(), peer.id())) {
                open.remove(peer.id());
                thread.scheduleAfter(
                        Duration.ofMillis(DIAL_TIMEOUT_MILLIS),
                        () -> control.handler().unreachable(peer.id()));
                return null;
            }
            dialledLinks++;
            Link link = new Link(other);
            open.put(peer.id(), link);
            link.write(new Envelope(0, control.introduction()), bytes -> {}, () -> {});
            return link;
        }
    }

    /** A connection that this router has dialled. */
    private final class Link {
        private final VirtualRouter other;
        private final VirtualNetwork.Connection outbound;
        private final VirtualNetwork.Connection inbound;
        private boolean closed;

        private Link(VirtualRouter other) {
            this.other = other;
            this.outbound = fleet.network().connect(self.id(), other.self.id());
            this.inbound = fleet.network().connect(other.self.id(), self.id());
        }

        private void write(Envelope envelope, LongConsumer progress, Runnable arrived) {
            outbound.send(bytes(envelope), progress, () -> {
                arrived.run();
                other.thread.run(() -> other.control
                        .handler()
                        .handle(self.id(), envelope.message())
                        .subscribe());
            });
        }

        private Mono<PeerMessage> fetch(PeerMessage message) {
            VirtualTransfer<PeerMessage> transfer = new VirtualTransfer<>(fleet.scheduler());
            outbound.send(
                    bytes(new Envelope(1, message)),
                    bytes -> {},
                    () -> other.thread.run(() -> other.control
                            .handler()
                            .handle(self.id(), message)
                            .subscribe(answer -> inbound.send(
                                    bytes(new Envelope(-1, answer)),
                                    transfer::received,
                                    () -> transfer.complete(answer)))));
            return transfer.result().doOnError(error -> close());
        }

        private void close() {
            closed = true;
            outbound.close();
            inbound.close();
            other.disconnectedFrom(self.id());
        }

        private static int bytes(Envelope envelope) {
            try {
                return PeerCodec.encode(envelope).length + FRAME_BYTES;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Reports one request in flight at one endpoint, as the traffic side would. */
    private final class Work implements WorkReportExchange {
        private final InFlightTracker inFlight = new InFlightTracker();
        private final PartitionTable partitions = new PartitionTable();
        private final RelayPeers relayPeers = new RelayPeers(
                self.dataCentre(), partitions, new Random(self.id().hashCode()));
        private boolean cut;
        private boolean cutChanged;
        private boolean partitionsChanged;

        private Work() {
            inFlight.started("endpoint-" + self.id(), 1);
        }

        private void cut(boolean nowCut) {
            cut = nowCut;
            cutChanged = true;
        }

        @Override
        public void recordPeerReport(
                String peerId,
                WorkScope scope,
                Map<String, InFlight> work,
                List<String> failing,
                FleetObservations observations,
                List<RouterPartition> partitions) {
            inFlight.recordPeerReport(peerId, scope, work, fleet.scheduler().millis());
            partitionsChanged |= !this.partitions
                    .record(peerId, partitions, fleet.scheduler().millis())
                    .isEmpty();
        }

        @Override
        public void routersChanged(List<FleetRouter> known, List<FleetRouter> unsuspected) {
            relayPeers.update(known, unsuspected);
        }

        @Override
        public void workReport(List<String> members, boolean always, Consumer<WorkReport> taker) {
            boolean ownChanged = !inFlight.takeChanges().isEmpty() || cutChanged;
            boolean peerChanged = inFlight.takePeerChange() || partitionsChanged;
            if (ownChanged || always || (!members.isEmpty() && peerChanged)) {
                cutChanged = false;
                partitionsChanged = false;
                Map<String, Map<String, InFlight>> withoutMember = new LinkedHashMap<>();
                members.forEach(id -> withoutMember.put(id, inFlight.workWithout(id)));
                taker.accept(new WorkReport(
                        inFlight.ownWork(),
                        inFlight.groupWork(),
                        withoutMember,
                        List.of(),
                        List.of(),
                        FleetObservations.NONE,
                        FleetObservations.NONE,
                        Map.of(),
                        cut ? List.of(new UnreachedService(SERVICE, 0)) : List.of(),
                        partitions.toReport(fleet.scheduler().millis())));
            }
        }
    }
}
