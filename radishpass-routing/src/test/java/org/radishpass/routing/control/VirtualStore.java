package org.radishpass.routing.control;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.fleet.DataCentreDrain;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.fleet.StorePosition;
import org.radishpass.routing.quarantine.RequestFingerprint;
import org.radishpass.routing.quarantine.Suspect;
import org.radishpass.routing.testing.VirtualScheduler;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** A store in virtual time whose answers travel over its link and that of the router that asks. */
final class VirtualStore {
    static final String MACHINE = "store";

    private static final long ANSWER_MILLIS = 4;
    private static final int ENDPOINT_BYTES = 260;
    private static final int ROUTER_BYTES = 150;
    private static final int QUARANTINED_BYTES = 250;
    private static final int HEAD_BYTES = 200;

    private final VirtualScheduler scheduler;
    private final VirtualNetwork network;
    private final List<Version> versions = new ArrayList<>();
    private final List<Wait> waiting = new ArrayList<>();
    private final Map<RequestFingerprint, Suspect> quarantined = new LinkedHashMap<>();
    private final Map<String, FleetRouter> routers = new LinkedHashMap<>();
    private final Map<DataCentre, DataCentreDrain> drains = new LinkedHashMap<>();
    private final Set<String> refused = new HashSet<>();
    private List<ServiceEndpoint> endpoints = List.of();
    private long era = 1;
    private long revision = 1;
    private int calls;
    private boolean down;

    VirtualStore(VirtualScheduler scheduler, VirtualNetwork network) {
        this.scheduler = scheduler;
        this.network = network;
    }

    /** Returns what it holds now. */
    Snapshot snapshot() {
        return new Snapshot(
                revision,
                List.copyOf(versions),
                Map.copyOf(quarantined),
                Map.copyOf(routers),
                Map.copyOf(drains),
                endpoints);
    }

    /** Comes back from a snapshot: what was written since is gone, its revisions are given out again, and waits are cut. */
    void restore(Snapshot from) {
        era++;
        revision = from.revision();
        replace(versions, from.versions());
        replace(quarantined, from.quarantined());
        replace(routers, from.routers());
        replace(drains, from.drains());
        endpoints = from.endpoints();
        cutWaits();
    }

    private static <T> void replace(List<T> held, List<T> restored) {
        held.clear();
        held.addAll(restored);
    }

    private static <K, V> void replace(Map<K, V> held, Map<K, V> restored) {
        held.clear();
        held.putAll(restored);
    }

    /** Answers nobody, or does so again. */
    void down(boolean now) {
        down = now;
        cutWaits();
    }

    private void cutWaits() {
        List<Wait> cut = List.copyOf(waiting);
        waiting.clear();
        cut.forEach(Wait::cut);
    }

    private void wake() {
        List<Wait> woken = List.copyOf(waiting);
        waiting.clear();
        woken.forEach(Wait::wake);
    }

    /** Writes rows that no router reads. */
    void writeOther(int count) {
        revision += count;
    }

    /** Tells whether a router is registered. */
    boolean registered(String router) {
        return routers.containsKey(router);
    }

    /** Tells whether a request is kept. */
    boolean keeps(RequestFingerprint request) {
        return quarantined.containsKey(request);
    }

    /** Publishes a configuration. */
    void publish(byte[] content) {
        revision++;
        versions.add(new Version(revision, content));
        wake();
    }

    /** Asks for a data centre to be emptied, or takes that back. */
    void drain(DataCentre dataCentre, boolean drained) {
        revision++;
        drains.put(dataCentre, new DataCentreDrain(dataCentre, position(), drained));
        wake();
    }

    /** Turns routers away from now on. */
    void refuse(Collection<String> routers) {
        refused.addAll(routers);
    }

    /** Forgets what was taken back, as a store does in time. */
    void forgetDrains() {
        revision++;
        drains.values().removeIf(drain -> !drain.drained());
    }

    /** Lists endpoints. */
    void list(List<ServiceEndpoint> newEndpoints) {
        revision++;
        endpoints = List.copyOf(newEndpoints);
    }

    /** Returns the endpoints that are listed. */
    List<ServiceEndpoint> endpoints() {
        return endpoints;
    }

    /** Returns how many calls were made. */
    int calls() {
        return calls;
    }

    /** Returns a router's way to it. */
    ControlSource link(String router) {
        return new Link(router);
    }

    /** What it held at some moment. */
    record Snapshot(
            long revision,
            List<Version> versions,
            Map<RequestFingerprint, Suspect> quarantined,
            Map<String, FleetRouter> routers,
            Map<DataCentre, DataCentreDrain> drains,
            List<ServiceEndpoint> endpoints) {}

    /** A call that is held until something changes. */
    private static final class Wait {
        private final Sinks.Empty<Void> ended = Sinks.empty();

        private void wake() {
            ended.tryEmitEmpty();
        }

        private void cut() {
            ended.tryEmitError(new IOException("cut"));
        }
    }

    /** One version of the configuration. */
    private record Version(long revision, byte[] content) {
        /** The store sends it as text, four bytes for three. */
        int bytes() {
            return content.length * 4 / 3;
        }
    }

    /** One router's way. */
    private final class Link implements ControlSource {
        private final String router;
        private final Sinks.Many<Long> eras = Sinks.many().replay().latest();
        private long latestEra = StorePosition.NO_ERA;

        private Link(String router) {
            this.router = router;
        }

        @Override
        public Flux<Long> eras() {
            return eras.asFlux();
        }

        private void answered(long told) {
            if (told > latestEra) {
                latestEra = told;
                eras.tryEmitNext(told);
            }
        }

        @Override
        public Mono<ConfigurationReading> configuration(LongConsumer begun) {
            return answer(() -> versions.isEmpty() ? 0 : newest().bytes(), () -> reading(-1), begun)
                    .onErrorResume(error -> Mono.just(new ConfigurationReading.Unavailable(error.toString())));
        }

        @Override
        public Mono<ConfigurationReading> configurationAfter(StorePosition place, Duration wait, LongConsumer begun) {
            if (place.era() != latestEra) {
                return Mono.just(new ConfigurationReading.HistoryLost());
            }
            long after = place.revision();
            return awaitChange(after, wait)
                    .then(answer(
                            () -> bytesAfter(after),
                            () -> place.era() == era ? reading(after) : new ConfigurationReading.HistoryLost(),
                            begun))
                    .onErrorResume(error -> Mono.just(new ConfigurationReading.Unavailable(error.toString())));
        }

        private Mono<Void> awaitChange(long after, Duration wait) {
            return Mono.defer(() -> {
                if (after > revision
                        || bytesAfter(after) > 0
                        || !drainsAfter(after).entries().isEmpty()) {
                    return Mono.empty();
                }
                Wait begun = new Wait();
                waiting.add(begun);
                scheduler.schedule(begun::wake, wait.toMillis(), TimeUnit.MILLISECONDS);
                return begun.ended.asMono().doFinally(signal -> waiting.remove(begun));
            });
        }

        @Override
        public Mono<DirectoryReading> directory() {
            return answer(() -> ENDPOINT_BYTES * endpoints.size(), () -> (DirectoryReading)
                            new DirectoryReading.Listed(position(), scheduler.millis(), endpoints, List.of()))
                    .onErrorResume(error -> Mono.just(new DirectoryReading.Unavailable(error.toString())));
        }

        @Override
        public Mono<RegistryReading> register(FleetRouter self) {
            return answer(() -> ROUTER_BYTES * routers.size(), () -> {
                        revision++;
                        routers.put(self.id(), self);
                        return registry(revision);
                    })
                    .onErrorResume(error -> Mono.just(new RegistryReading.Unavailable(error.toString())));
        }

        @Override
        public Mono<RegistryReading> registered() {
            return answer(() -> ROUTER_BYTES * routers.size(), () -> registry(-1))
                    .onErrorResume(error -> Mono.just(new RegistryReading.Unavailable(error.toString())));
        }

        @Override
        public Mono<Boolean> deregister(Address self, StorePosition registeredAt) {
            calls++;
            return Mono.fromSupplier(() -> routers.remove(self.toString()) != null);
        }

        @Override
        public Mono<QuarantineReading> quarantined() {
            return answer(() -> QUARANTINED_BYTES * quarantined.size(), () ->
                            (QuarantineReading) new QuarantineReading.Listed(List.copyOf(quarantined.values())))
                    .onErrorResume(error -> Mono.just(new QuarantineReading.Unavailable(error.toString())));
        }

        @Override
        public Mono<Boolean> quarantine(Suspect suspect, long storeMillis) {
            return Mono.fromSupplier(() -> {
                quarantined.put(suspect.request(), suspect);
                return true;
            });
        }

        @Override
        public Mono<Boolean> release(RequestFingerprint request) {
            return Mono.fromSupplier(() -> {
                quarantined.remove(request);
                return true;
            });
        }

        private <T> Mono<T> answer(IntSupplier bytes, Supplier<T> value) {
            return answer(bytes, value, size -> {});
        }

        private <T> Mono<T> answer(IntSupplier bytes, Supplier<T> value, LongConsumer begun) {
            return Mono.defer(() -> {
                calls++;
                if (down || refused.contains(router)) {
                    return Mono.error(new IOException("refused"));
                }
                VirtualTransfer<T> transfer = new VirtualTransfer<>(scheduler);
                VirtualNetwork.Connection connection = network.connect(MACHINE, router);
                Runnable send = () -> send(connection, transfer, HEAD_BYTES + bytes.getAsInt(), value.get(), begun);
                scheduler.schedule(send, ANSWER_MILLIS, TimeUnit.MILLISECONDS);
                return transfer.result().doOnCancel(connection::close).doOnError(error -> connection.close());
            });
        }

        private <T> void send(
                VirtualNetwork.Connection connection,
                VirtualTransfer<T> transfer,
                int bytes,
                T value,
                LongConsumer begun) {
            long toldEra = era;
            connection.send(
                    bytes,
                    count -> {
                        answered(toldEra);
                        begun.accept(bytes);
                        transfer.received(count);
                    },
                    () -> transfer.whole(value));
        }
    }

    private StorePosition position() {
        return new StorePosition(era, revision);
    }

    private Version newest() {
        return versions.get(versions.size() - 1);
    }

    private ConfigurationReading reading(long after) {
        if (after > revision) {
            return new ConfigurationReading.HistoryLost();
        }
        if (versions.isEmpty() || newest().revision() <= after) {
            return new ConfigurationReading.Unchanged(position(), drainsAfter(after));
        }
        return new ConfigurationReading.Published(position(), newest().content(), drainsAfter(after));
    }

    /** A whole reading holds what is there, others what has changed. */
    private DrainReading drainsAfter(long after) {
        boolean whole = after < 0;
        return new DrainReading(
                whole,
                position(),
                drains.values().stream()
                        .filter(drain ->
                                whole ? drain.drained() : drain.position().revision() > after)
                        .toList());
    }

    private RegistryReading registry(long own) {
        return new RegistryReading.Registered(
                routers.values().stream()
                        .map(router -> new RegistryReading.Registration(router, new StorePosition(era, own)))
                        .toList(),
                new StorePosition(era, own));
    }

    private int bytesAfter(long after) {
        return versions.stream()
                .filter(version -> version.revision() > after)
                .mapToInt(Version::bytes)
                .sum();
    }
}
