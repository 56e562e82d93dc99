package org.radishpass.routing.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.peer.message.RoutingMessage;
import org.radishpass.peer.transport.PeerLinks;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.fleet.SoftwareVersion;
import org.radishpass.routing.stream.KnownOrigin;
import org.radishpass.routing.stream.OriginAnswer;
import org.radishpass.routing.stream.StreamOrigin;
import org.radishpass.routing.stream.StreamOriginExchange;
import org.radishpass.routing.stream.StreamOriginPeers;
import org.radishpass.routing.traffic.MonotonicClock;
import org.radishpass.runtime.thread.ControlThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Tells a few routers what began each stream, and asks them when a caller takes one up. Rendezvous hashing of the stream
 * selects them, so that every router tells and asks the same ones. State is confined to the control thread.
 */
final class StreamOriginReporter implements StreamOriginPeers {
    private static final Logger LOG = LoggerFactory.getLogger(StreamOriginReporter.class);

    /**
     * Routers of the whole fleet that keep the origin of one stream, beside one of the sender's data centre. Two of them may
     * be lost at the same time as the router that began the stream.
     */
    private static final int RESPONSIBLE = 3;

    /** Time until a router must have answered, in milliseconds: many round trips, and little of a caller's patience. */
    private static final long ANSWER_MILLIS = 250;

    private final ControlThread thread;
    private final MonotonicClock clock;
    private final FleetRouter self;
    private final StreamOriginExchange exchange;
    private final PeerTable peers;
    private final PeerLinks links;
    private final OriginWriters writers;
    private final StreamOriginJournal journal;
    private final Consumer<Consumer<Boolean>> versionReader;

    StreamOriginReporter(
            ControlThread thread,
            MonotonicClock clock,
            FleetRouter self,
            StreamOriginExchange exchange,
            PeerTable peers,
            PeerLinks links,
            StreamOriginJournal journal,
            Consumer<Consumer<Boolean>> versionReader) {
        this.thread = thread;
        this.clock = clock;
        this.self = self;
        this.exchange = exchange;
        this.peers = peers;
        this.links = links;
        this.writers = new OriginWriters(clock, self, peers);
        this.journal = journal;
        this.versionReader = versionReader;
    }

    @Override
    public void tell(List<KnownOrigin> origins) {
        thread.run(() -> {
            long nowMillis = clock.millis();
            List<Long> storing = writers.all();
            Map<Peer, List<RoutingMessage.StreamOriginEntry>> entries = new LinkedHashMap<>();
            for (KnownOrigin known : origins) {
                RoutingMessage.StreamOriginEntry entry = toEntry(known, nowMillis);
                responsible(known.stream(), storing)
                        .forEach(peer -> entries.computeIfAbsent(peer, key -> new ArrayList<>())
                                .add(entry));
            }
            entries.forEach((peer, told) -> links.send(peer.vm(), new RoutingMessage.StreamOrigins(told)));
            store(origins, storing);
        });
    }

    /** Stores the origins of the streams that fall to this router. */
    private void store(List<KnownOrigin> origins, List<Long> storing) {
        List<KnownOrigin> here = origins.stream()
                .filter(known -> writers.storesHere(storing, known.stream()))
                .toList();
        if (!here.isEmpty()) {
            journal.add(here, storing.size());
        }
    }

    @Override
    public void confirmVersions(Consumer<Boolean> done) {
        thread.run(() -> versionReader.accept(done));
    }

    @Override
    public void ask(long stream, String service, long lifetimeMillis, Consumer<OriginAnswer> answer) {
        thread.run(() -> {
            Set<Peer> asked = responsible(stream, writers.all());
            PeerMessage question = new RoutingMessage.StreamOriginWanted(stream, service, lifetimeMillis);
            Flux.fromIterable(asked)
                    .flatMap(peer -> links.fetch(peer.vm(), question)
                            .timeout(Duration.ofMillis(ANSWER_MILLIS), thread.scheduler())
                            .onErrorResume(error -> Mono.empty()))
                    .map(StreamOriginReporter::toOrigin)
                    .scan(OriginAnswer.NONE, (known, reply) -> new OriginAnswer(reply, known.answers() + 1))
                    .takeUntil(known -> known.origin().isPresent())
                    .last(OriginAnswer.NONE)
                    .doOnNext(found -> logUnknown(found.origin(), stream, asked))
                    .subscribe(answer);
        });
    }

    /** Takes over what a peer tells. */
    void onOrigins(RoutingMessage.StreamOrigins message) {
        long nowMillis = clock.millis();
        List<KnownOrigin> origins = message.origins().stream()
                .map(entry -> new KnownOrigin(
                        entry.stream(),
                        new StreamOrigin(entry.service(), new SoftwareVersion(entry.version())),
                        nowMillis + entry.remainingMillis()))
                .toList();
        exchange.told(origins);
        store(origins, writers.all());
    }

    /** Answers a peer. */
    Mono<PeerMessage> answer(RoutingMessage.StreamOriginWanted wanted) {
        return Mono.create(sink -> exchange.lookUp(
                wanted.stream(),
                wanted.service(),
                wanted.lifetimeMillis(),
                origin -> sink.success(new RoutingMessage.StreamOriginFound(
                        origin.map(StreamOrigin::service).orElse(""),
                        origin.map(found -> found.version().name()).orElse("")))));
    }

    /**
     * Returns the routers that are responsible for a stream: those that rank highest, also while they are suspected to be
     * down, those that rank highest without these, the one that ranks highest in the data centre of this router, and those
     * that store the stream.
     */
    private Set<Peer> responsible(long stream, List<Long> storing) {
        Set<Peer> responsible = new LinkedHashSet<>(highest(stream, RESPONSIBLE, peer -> true));
        responsible.addAll(highest(stream, RESPONSIBLE, peer -> !peer.suspected()));
        responsible.addAll(highest(
                stream,
                1,
                peer -> !peer.suspected() && peer.router().dataCentre().equals(self.dataCentre())));
        responsible.addAll(writers.peersOf(storing, stream));
        return responsible;
    }

    /** Returns the peers that rank highest for a stream, of those that keep origins and meet a condition. */
    private List<Peer> highest(long stream, int count, Predicate<Peer> condition) {
        List<Peer> highest = new ArrayList<>(count + 1);
        for (Peer peer : peers.all()) {
            if (!peer.router().keepsStreamOrigins() || !condition.test(peer)) {
                continue;
            }
            int position = highest.size();
            while (position > 0 && rank(stream, highest.get(position - 1)) < rank(stream, peer)) {
                position--;
            }
            highest.add(position, peer);
            if (highest.size() > count) {
                highest.remove(count);
            }
        }
        return highest;
    }

    private static long rank(long stream, Peer peer) {
        return Rendezvous.mix(stream, peer.hash());
    }

    private static RoutingMessage.StreamOriginEntry toEntry(KnownOrigin known, long nowMillis) {
        return new RoutingMessage.StreamOriginEntry(
                known.stream(),
                known.origin().service(),
                known.origin().version().name(),
                Math.max(0, known.expiresAtMillis() - nowMillis));
    }

    private static Optional<StreamOrigin> toOrigin(PeerMessage reply) {
        return reply instanceof RoutingMessage.StreamOriginFound found
                        && !found.version().isEmpty()
                ? Optional.of(new StreamOrigin(found.service(), new SoftwareVersion(found.version())))
                : Optional.empty();
    }

    private static void logUnknown(Optional<StreamOrigin> origin, long stream, Set<Peer> asked) {
        if (origin.isEmpty()) {
            LOG.info(
                    "no router knows what began stream {}; asked {}; the request that takes it up is refused",
                    Long.toHexString(stream),
                    asked.stream().map(Peer::id).toList(),
                    LogEvent.STREAM_ORIGIN_UNKNOWN.field());
        }
    }
}
