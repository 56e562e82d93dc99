package org.radishpass.routing.control;

import static org.radishpass.routing.testing.StorePositions.at;

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
    private final List<Runnable> waiting = new ArrayList<>();
    private final Map<RequestFingerprint, Suspect> quarantined = new LinkedHashMap<>();
    private final Map<String, FleetRouter> routers = new LinkedHashMap<>();
    private final Map<DataCentre, DataCentreDrain> drains = new LinkedHashMap<>();
    private final Set<String> refused = new HashSet<>();
    private List<ServiceEndpoint> endpoints = List.of();
    private long revision = 1;
    private int calls;

    VirtualStore(VirtualScheduler scheduler, VirtualNetwork network) {
        this.scheduler = scheduler;
        this.network = network;
    }

    /** Publishes a configuration. */
    void publish(byte[] content) {
        revision++;
        versions.add(new Version(revision, content));
        List<Runnable> woken = List.copyOf(waiting);
        waiting.clear();
        woken.forEach(Runnable::run);
    }

    /** Asks for a data centre to be emptied, or takes that back. */
    void drain(DataCentre dataCentre, boolean drained) {
        revision++;
        drains.put(dataCentre, new DataCentreDrain(dataCentre, at(revision), drained));
        List<Runnable> woken = List.copyOf(waiting);
        waiting.clear();
        woken.forEach(Runnable::run);
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

    /** Returns how many calls were made. */
    int calls() {
        return calls;
    }

    /** Returns a router's way to it. */
    ControlSource link(String router) {
        return new Link(router);
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

        private Link(String router) {
            this.router = router;
        }

        @Override
        public Mono<ConfigurationReading> configuration(LongConsumer begun) {
            return answer(() -> versions.isEmpty() ? 0 : newest().bytes(), () -> reading(-1), begun)
                    .onErrorResume(error -> Mono.just(new ConfigurationReading.Unavailable(error.toString())));
        }

        @Override
        public Mono<ConfigurationReading> configurationAfter(StorePosition place, Duration wait, LongConsumer begun) {
            long after = place.revision();
            return awaitChange(after, wait)
                    .then(answer(() -> bytesAfter(after), () -> reading(after), begun))
                    .onErrorResume(error -> Mono.just(new ConfigurationReading.Unavailable(error.toString())));
        }

        private Mono<Void> awaitChange(long after, Duration wait) {
            return Mono.defer(() -> {
                if (bytesAfter(after) > 0 || !drainsAfter(after).entries().isEmpty()) {
                    return Mono.empty();
                }
                Sinks.Empty<Void> woken = Sinks.empty();
                Runnable wake = woken::tryEmitEmpty;
                waiting.add(wake);
                scheduler.schedule(wake, wait.toMillis(), TimeUnit.MILLISECONDS);
                return woken.asMono().doFinally(signal -> waiting.remove(wake));
            });
        }

        @Override
        public Mono<DirectoryReading> directory() {
            return answer(() -> ENDPOINT_BYTES * endpoints.size(), () -> (DirectoryReading)
                            new DirectoryReading.Listed(at(revision), scheduler.millis(), endpoints, List.of()))
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
                if (refused.contains(router)) {
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
            connection.send(
                    bytes,
                    count -> {
                        begun.accept(bytes);
                        transfer.received(count);
                    },
                    () -> transfer.whole(value));
        }
    }

    private Version newest() {
        return versions.get(versions.size() - 1);
    }

    private ConfigurationReading reading(long after) {
        if (versions.isEmpty() || newest().revision() <= after) {
            return new ConfigurationReading.Unchanged(at(revision), drainsAfter(after));
        }
        return new ConfigurationReading.Published(at(revision), newest().content(), drainsAfter(after));
    }

    /** A whole reading holds what is there, others what has changed. */
    private DrainReading drainsAfter(long after) {
        boolean whole = after < 0;
        return new DrainReading(
                whole,
                at(revision),
                drains.values().stream()
                        .filter(drain ->
                                whole ? drain.drained() : drain.position().revision() > after)
                        .toList());
    }

    private RegistryReading registry(long own) {
        return new RegistryReading.Registered(
                routers.values().stream()
                        .map(router -> new RegistryReading.Registration(router, at(own)))
                        .toList(),
                at(own));
    }

    private int bytesAfter(long after) {
        return versions.stream()
                .filter(version -> version.revision() > after)
                .mapToInt(Version::bytes)
                .sum();
    }
}
