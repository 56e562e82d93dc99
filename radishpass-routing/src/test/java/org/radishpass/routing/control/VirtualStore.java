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
import org.jspecify.annotations.Nullable;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.fleet.DataCentreDrain;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.fleet.StorePosition;
import org.radishpass.routing.quarantine.CrashCause;
import org.radishpass.routing.quarantine.Suspect;
import org.radishpass.routing.stream.StreamVersionRecord;
import org.radishpass.routing.testing.VirtualScheduler;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Simulates the store in virtual time. Responses travel over the store's link and the link of the requesting router.
 */
final class VirtualStore {
    static final String HOST = "store";

    private static final long RESPONSE_DELAY_MILLIS = 4;
    private static final int ENDPOINT_BYTES = 260;
    private static final int ROUTER_BYTES = 150;
    private static final int QUARANTINED_BYTES = 250;
    private static final int HEADER_BYTES = 200;

    private final VirtualScheduler scheduler;
    private final VirtualNetwork network;
    private final List<Version> versions = new ArrayList<>();
    private final List<LongPoll> longPolls = new ArrayList<>();
    private final Map<CrashCause, Suspect> quarantined = new LinkedHashMap<>();
    private final Map<String, FleetRouter> routers = new LinkedHashMap<>();
    private final Map<DataCentre, DataCentreDrain> drains = new LinkedHashMap<>();
    private final Set<String> refused = new HashSet<>();
    private final Map<String, StoredOrigins> storedOrigins = new LinkedHashMap<>();
    private @Nullable StreamVersionRecord streamVersions;
    private long streamVersionsRevision;
    private int originWrites;
    private boolean streamVersionsRefused;
    private List<ServiceEndpoint> endpoints = List.of();
    private long era = 1;
    private long revision = 1;
    private int calls;
    private boolean down;

    VirtualStore(VirtualScheduler scheduler, VirtualNetwork network) {
        this.scheduler = scheduler;
        this.network = network;
    }

    /** Returns the current content of the store. */
    Snapshot snapshot() {
        return new Snapshot(
                revision,
                List.copyOf(versions),
                Map.copyOf(quarantined),
                Map.copyOf(routers),
                Map.copyOf(drains),
                Map.copyOf(storedOrigins),
                streamVersions,
                streamVersionsRevision,
                endpoints);
    }

    /**
     * Restores the store from a snapshot. Later changes are lost, their revisions are assigned again, and long polls
     * fail.
     */
    void restore(Snapshot from) {
        era++;
        revision = from.revision();
        replaceContents(versions, from.versions());
        replaceContents(quarantined, from.quarantined());
        replaceContents(routers, from.routers());
        replaceContents(drains, from.drains());
        replaceContents(storedOrigins, from.storedOrigins());
        streamVersions = from.streamVersions();
        streamVersionsRevision = from.streamVersionsRevision();
        endpoints = from.endpoints();
        failLongPolls();
    }

    private static <T> void replaceContents(List<T> current, List<T> restored) {
        current.clear();
        current.addAll(restored);
    }

    private static <K, V> void replaceContents(Map<K, V> current, Map<K, V> restored) {
        current.clear();
        current.putAll(restored);
    }

    /** Makes the store refuse all requests, or respond again. */
    void setDown(boolean newDown) {
        down = newDown;
        failLongPolls();
    }

    private void failLongPolls() {
        List<LongPoll> failedPolls = List.copyOf(longPolls);
        longPolls.clear();
        failedPolls.forEach(LongPoll::fail);
    }

    private void completeLongPolls() {
        List<LongPoll> completedPolls = List.copyOf(longPolls);
        longPolls.clear();
        completedPolls.forEach(LongPoll::complete);
    }

    /** Writes rows that no router reads. */
    void writeUnrelatedRows(int count) {
        revision += count;
    }

    /** Tells whether a router is registered. */
    boolean registered(String router) {
        return routers.containsKey(router);
    }

    /** Tells whether a request is quarantined. */
    boolean quarantines(CrashCause cause) {
        return quarantined.containsKey(cause);
    }

    /** Publishes a configuration. */
    void publish(byte[] content) {
        revision++;
        versions.add(new Version(revision, content));
        completeLongPolls();
    }

    /** Starts or ends the drain of a data centre. */
    void drain(DataCentre dataCentre, boolean drained) {
        revision++;
        drains.put(dataCentre, new DataCentreDrain(dataCentre, position(), drained));
        completeLongPolls();
    }

    /** Refuses all further requests of the given routers. */
    void refuseRouters(Collection<String> routers) {
        refused.addAll(routers);
    }

    /** Discards the ends of drains, as a store does with its history after some time. */
    void forgetEndedDrains() {
        revision++;
        drains.values().removeIf(drain -> !drain.drained());
    }

    /** Replaces the listed endpoints. */
    void listEndpoints(List<ServiceEndpoint> newEndpoints) {
        revision++;
        endpoints = List.copyOf(newEndpoints);
    }

    /** Returns the listed endpoints. */
    List<ServiceEndpoint> endpoints() {
        return endpoints;
    }

    /** Makes the store refuse to write the record of software versions, while it serves all other requests. */
    void refuseStreamVersions(boolean refused) {
        streamVersionsRefused = refused;
    }

    /** Removes the record of software versions, as another program might. */
    void dropStreamVersions() {
        revision++;
        streamVersions = null;
    }

    /** Replaces the record of software versions, as a program that damages it might. */
    void replaceStreamVersions(StreamVersionRecord record) {
        revision++;
        streamVersions = record;
        streamVersionsRevision = revision;
    }

    /** Returns the number of writes of origins so far. */
    int originWrites() {
        return originWrites;
    }

    /** Returns the number of stored batches of origins. */
    int originBatches() {
        return storedOrigins.size();
    }

    /** Returns the number of calls so far. */
    int calls() {
        return calls;
    }

    /** Returns a router's connection to this store. */
    ControlSource link(String router) {
        return new Link(router);
    }

    /** The content of the store at some moment. */
    record Snapshot(
            long revision,
            List<Version> versions,
            Map<CrashCause, Suspect> quarantined,
            Map<String, FleetRouter> routers,
            Map<DataCentre, DataCentreDrain> drains,
            Map<String, StoredOrigins> storedOrigins,
            @Nullable StreamVersionRecord streamVersions,
            long streamVersionsRevision,
            List<ServiceEndpoint> endpoints) {}

    /** A request that is held until something changes. */
    private static final class LongPoll {
        private final Sinks.Empty<Void> ended = Sinks.empty();

        private void complete() {
            ended.tryEmitEmpty();
        }

        private void fail() {
            ended.tryEmitError(new IOException("cut"));
        }
    }

    /** A version of the configuration. */
    private record Version(long revision, byte[] content) {
        /** Returns the size of the response: the store sends the document as Base64, four bytes for three. */
        int bytes() {
            return content.length * 4 / 3;
        }
    }

    /** The connection of one router to the store. */
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

        private void observeEra(long reportedEra) {
            if (reportedEra > latestEra) {
                latestEra = reportedEra;
                eras.tryEmitNext(reportedEra);
            }
        }

        @Override
        public Mono<ConfigurationReadResult> configuration(LongConsumer onResponseStart) {
            return respond(() -> versions.isEmpty() ? 0 : newest().bytes(), () -> readResult(-1), onResponseStart)
                    .onErrorResume(error -> Mono.just(new ConfigurationReadResult.Unavailable(error.toString())));
        }

        @Override
        public Mono<ConfigurationReadResult> configurationAfter(
                StorePosition afterPosition, Duration wait, LongConsumer onResponseStart) {
            if (afterPosition.era() != latestEra) {
                return Mono.just(new ConfigurationReadResult.HistoryLost());
            }
            long afterRevision = afterPosition.revision();
            return awaitChange(afterRevision, wait)
                    .then(respond(
                            () -> bytesAfter(afterRevision),
                            () -> afterPosition.era() == era
                                    ? readResult(afterRevision)
                                    : new ConfigurationReadResult.HistoryLost(),
                            onResponseStart))
                    .onErrorResume(error -> Mono.just(new ConfigurationReadResult.Unavailable(error.toString())));
        }

        private Mono<Void> awaitChange(long afterRevision, Duration wait) {
            return Mono.defer(() -> {
                if (afterRevision > revision
                        || bytesAfter(afterRevision) > 0
                        || !drainsAfter(afterRevision).entries().isEmpty()) {
                    return Mono.empty();
                }
                LongPoll longPoll = new LongPoll();
                longPolls.add(longPoll);
                scheduler.schedule(longPoll::complete, wait.toMillis(), TimeUnit.MILLISECONDS);
                return longPoll.ended.asMono().doFinally(signal -> longPolls.remove(longPoll));
            });
        }

        @Override
        public Mono<DirectoryReadResult> directory() {
            return respond(() -> ENDPOINT_BYTES * endpoints.size(), () -> (DirectoryReadResult)
                            new DirectoryReadResult.Listed(position(), scheduler.millis(), endpoints, List.of()))
                    .onErrorResume(error -> Mono.just(new DirectoryReadResult.Unavailable(error.toString())));
        }

        @Override
        public Mono<RegistryReadResult> register(FleetRouter self) {
            return respond(() -> ROUTER_BYTES * routers.size(), () -> {
                        revision++;
                        routers.put(self.id(), self);
                        return registry(revision);
                    })
                    .onErrorResume(error -> Mono.just(new RegistryReadResult.Unavailable(error.toString())));
        }

        @Override
        public Mono<RegistryReadResult> registered() {
            return respond(() -> ROUTER_BYTES * routers.size(), () -> registry(-1))
                    .onErrorResume(error -> Mono.just(new RegistryReadResult.Unavailable(error.toString())));
        }

        @Override
        public Mono<Boolean> deregister(Address self, StorePosition registeredAt) {
            calls++;
            return Mono.fromSupplier(() -> routers.remove(self.toString()) != null);
        }

        @Override
        public Mono<QuarantineReadResult> quarantined() {
            return respond(() -> QUARANTINED_BYTES * quarantined.size(), () ->
                            (QuarantineReadResult) new QuarantineReadResult.Listed(List.copyOf(quarantined.values())))
                    .onErrorResume(error -> Mono.just(new QuarantineReadResult.Unavailable(error.toString())));
        }

        @Override
        public Mono<Boolean> quarantine(Suspect suspect, long storeMillis) {
            return Mono.fromSupplier(() -> {
                quarantined.put(suspect.cause(), suspect);
                return true;
            });
        }

        @Override
        public Mono<Boolean> release(CrashCause cause) {
            return Mono.fromSupplier(() -> {
                quarantined.remove(cause);
                return true;
            });
        }

        @Override
        public Mono<StreamVersionReadResult> streamVersions() {
            return respond(() -> ROUTER_BYTES, VirtualStore.this::readStreamVersions)
                    .onErrorResume(error -> Mono.just(
                            new StreamVersionReadResult.Unavailable(ReadFailure.STORE_UNAVAILABLE, error.toString())));
        }

        @Override
        public Mono<StreamVersionReadResult> saveStreamVersions(StreamVersionRecord record, StorePosition replaced) {
            return respond(() -> 0, () -> {
                        if (replaced.era() == era || !replaced.known()) {
                            compareAndSet(record, replaced);
                        }
                        return true;
                    })
                    .onErrorReturn(false)
                    .then(streamVersions());
        }

        @Override
        public Mono<StreamOriginReadResult> streamOrigins() {
            return respond(() -> ROUTER_BYTES * storedOrigins.size(), () -> (StreamOriginReadResult)
                            new StreamOriginReadResult.Listed(List.copyOf(storedOrigins.values()), scheduler.millis()))
                    .onErrorResume(error -> Mono.just(
                            new StreamOriginReadResult.Unavailable(ReadFailure.STORE_UNAVAILABLE, error.toString())));
        }

        @Override
        public Mono<Boolean> saveStreamOrigins(List<StoredOrigins> added, List<String> removed) {
            return respond(() -> 0, () -> {
                        originWrites++;
                        added.forEach(batch -> storedOrigins.put(batch.name(), batch));
                        removed.forEach(storedOrigins::remove);
                        return true;
                    })
                    .onErrorReturn(false);
        }

        private <T> Mono<T> respond(IntSupplier bytes, Supplier<T> value) {
            return respond(bytes, value, size -> {});
        }

        private <T> Mono<T> respond(IntSupplier bytes, Supplier<T> value, LongConsumer onResponseStart) {
            return Mono.defer(() -> {
                calls++;
                if (down || refused.contains(router)) {
                    return Mono.error(new IOException("refused"));
                }
                VirtualTransfer<T> transfer = new VirtualTransfer<>(scheduler);
                VirtualNetwork.Connection connection = network.connect(HOST, router);
                Runnable send =
                        () -> send(connection, transfer, HEADER_BYTES + bytes.getAsInt(), value.get(), onResponseStart);
                scheduler.schedule(send, RESPONSE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
                return transfer.result().doOnCancel(connection::close).doOnError(error -> connection.close());
            });
        }

        private <T> void send(
                VirtualNetwork.Connection connection,
                VirtualTransfer<T> transfer,
                int bytes,
                T value,
                LongConsumer onResponseStart) {
            long eraAtSend = era;
            connection.send(
                    bytes,
                    count -> {
                        observeEra(eraAtSend);
                        onResponseStart.accept(bytes);
                        transfer.received(count);
                    },
                    () -> transfer.complete(value));
        }
    }

    private StreamVersionReadResult readStreamVersions() {
        StreamVersionRecord record = streamVersions;
        return record == null
                ? new StreamVersionReadResult.Absent()
                : new StreamVersionReadResult.Found(record, new StorePosition(era, streamVersionsRevision));
    }

    private void compareAndSet(StreamVersionRecord record, StorePosition replaced) {
        boolean unchanged = replaced.known() ? replaced.revision() == streamVersionsRevision : streamVersions == null;
        if (unchanged && !streamVersionsRefused) {
            replaceStreamVersions(record);
        }
    }

    private StorePosition position() {
        return new StorePosition(era, revision);
    }

    private Version newest() {
        return versions.get(versions.size() - 1);
    }

    private ConfigurationReadResult readResult(long afterRevision) {
        if (afterRevision > revision) {
            return new ConfigurationReadResult.HistoryLost();
        }
        if (versions.isEmpty() || newest().revision() <= afterRevision) {
            return new ConfigurationReadResult.Unchanged(position(), drainsAfter(afterRevision));
        }
        return new ConfigurationReadResult.Published(position(), newest().content(), drainsAfter(afterRevision));
    }

    /** Returns all drains in effect if the position is negative, and the changes since the position otherwise. */
    private DrainReport drainsAfter(long afterRevision) {
        boolean whole = afterRevision < 0;
        return new DrainReport(
                whole,
                position(),
                drains.values().stream()
                        .filter(drain ->
                                whole ? drain.drained() : drain.position().revision() > afterRevision)
                        .toList());
    }

    private RegistryReadResult registry(long registeredRevision) {
        return new RegistryReadResult.Registered(
                routers.values().stream()
                        .map(router ->
                                new RegistryReadResult.Registration(router, new StorePosition(era, registeredRevision)))
                        .toList(),
                new StorePosition(era, registeredRevision));
    }

    private int bytesAfter(long afterRevision) {
        return versions.stream()
                .filter(version -> version.revision() > afterRevision)
                .mapToInt(Version::bytes)
                .sum();
    }
}
