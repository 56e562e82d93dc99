package org.radishpass.routing.testing;

import static org.radishpass.routing.testing.StorePositions.at;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.fleet.Address;
import org.radishpass.routing.control.ConfigurationReadResult;
import org.radishpass.routing.control.ControlSource;
import org.radishpass.routing.control.DirectoryReadResult;
import org.radishpass.routing.control.QuarantineReadResult;
import org.radishpass.routing.control.ReadFailure;
import org.radishpass.routing.control.RegistryReadResult;
import org.radishpass.routing.control.StoredOrigins;
import org.radishpass.routing.control.StreamOriginReadResult;
import org.radishpass.routing.control.StreamVersionReadResult;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.fleet.StorePosition;
import org.radishpass.routing.quarantine.CrashCause;
import org.radishpass.routing.quarantine.Suspect;
import org.radishpass.routing.stream.StreamVersionRecord;
import reactor.core.publisher.Mono;

/** An in-memory store shared by several routers. Each router has its own link to the store, which a test can cut. */
public final class FakeStore {
    private static final Duration PAUSE = Duration.ofMillis(20);

    private final Set<FleetRouter> routers = ConcurrentHashMap.newKeySet();
    private volatile List<ServiceEndpoint> endpoints = List.of();
    private volatile String document = "";
    private final Map<CrashCause, Suspect> quarantined = new ConcurrentHashMap<>();
    private final AtomicLong revision = new AtomicLong(1);
    private final Map<String, StoredOrigins> storedOrigins = new ConcurrentHashMap<>();
    private @Nullable StreamVersionRecord streamVersions;
    private long streamVersionsRevision;

    private synchronized StreamVersionReadResult versions() {
        StreamVersionRecord record = streamVersions;
        return record == null
                ? new StreamVersionReadResult.Absent()
                : new StreamVersionReadResult.Found(record, at(streamVersionsRevision));
    }

    private synchronized void replaceVersions(StreamVersionRecord record, StorePosition replaced) {
        if (replaced.known() ? replaced.revision() == streamVersionsRevision : streamVersions == null) {
            streamVersions = record;
            streamVersionsRevision = revision.incrementAndGet();
        }
    }

    /** Publishes a configuration document and increments the revision. */
    public void publish(String newDocument) {
        document = newDocument;
        revision.incrementAndGet();
    }

    /** Replaces the list of endpoints and increments the revision. */
    public void list(ServiceEndpoint... newEndpoints) {
        endpoints = List.of(newEndpoints);
        revision.incrementAndGet();
    }

    /** Returns a new link of a router to the store. */
    public Link link() {
        return new Link();
    }

    /** The link of one router to the store. */
    public final class Link implements ControlSource {
        private final AtomicInteger waits = new AtomicInteger();
        private volatile boolean cut;
        private volatile boolean silentWaits;

        private Link() {}

        /** Cuts or restores the link. */
        public Link cut(boolean newCut) {
            cut = newCut;
            return this;
        }

        /** Sets whether waits for a configuration get no response, as on a connection whose remote side is gone. */
        public Link silentWaits(boolean newSilent) {
            silentWaits = newSilent;
            return this;
        }

        /** Returns the number of waits for a configuration that have begun. */
        public int waits() {
            return waits.get();
        }

        @Override
        public Mono<ConfigurationReadResult> configuration(LongConsumer begun) {
            return Mono.fromSupplier(this::readResult);
        }

        @Override
        public Mono<ConfigurationReadResult> configurationAfter(
                StorePosition after, Duration wait, LongConsumer begun) {
            if (!wait.isZero()) {
                waits.incrementAndGet();
                if (silentWaits) {
                    return Mono.never();
                }
            }
            return Mono.delay(wait.isZero() ? Duration.ZERO : PAUSE)
                    .map(tick -> revision.get() > after.revision()
                            ? readResult()
                            : new ConfigurationReadResult.Unchanged(at(revision.get())));
        }

        @Override
        public Mono<DirectoryReadResult> directory() {
            return Mono.fromSupplier(() -> cut
                    ? new DirectoryReadResult.Unavailable("cut")
                    : new DirectoryReadResult.Listed(
                            at(revision.get()), System.nanoTime() / 1_000_000, endpoints, List.of()));
        }

        @Override
        public Mono<RegistryReadResult> register(FleetRouter self) {
            return Mono.fromSupplier(() -> {
                if (cut) {
                    return new RegistryReadResult.Unavailable("cut");
                }
                routers.add(self);
                return registry();
            });
        }

        @Override
        public Mono<RegistryReadResult> registered() {
            return Mono.fromSupplier(() -> cut ? new RegistryReadResult.Unavailable("cut") : registry());
        }

        private RegistryReadResult registry() {
            return new RegistryReadResult.Registered(
                    routers.stream()
                            .map(router -> new RegistryReadResult.Registration(router, at(revision.get())))
                            .toList(),
                    at(revision.get()));
        }

        @Override
        public Mono<Boolean> deregister(Address self, StorePosition registeredAt) {
            return Mono.fromSupplier(
                    () -> routers.removeIf(router -> router.address().equals(self)));
        }

        @Override
        public Mono<QuarantineReadResult> quarantined() {
            return Mono.fromSupplier(() -> cut
                    ? new QuarantineReadResult.Unavailable("cut")
                    : new QuarantineReadResult.Listed(List.copyOf(quarantined.values())));
        }

        @Override
        public Mono<Boolean> quarantine(Suspect suspect, long storeMillis) {
            return Mono.fromSupplier(() -> {
                if (!cut) {
                    quarantined.put(suspect.cause(), suspect);
                }
                return !cut;
            });
        }

        @Override
        public Mono<Boolean> release(CrashCause cause) {
            return Mono.fromSupplier(() -> {
                if (!cut) {
                    quarantined.remove(cause);
                }
                return !cut;
            });
        }

        @Override
        public Mono<StreamVersionReadResult> streamVersions() {
            return Mono.fromSupplier(() ->
                    cut ? new StreamVersionReadResult.Unavailable(ReadFailure.STORE_UNAVAILABLE, "cut") : versions());
        }

        @Override
        public Mono<StreamVersionReadResult> saveStreamVersions(StreamVersionRecord record, StorePosition replaced) {
            return Mono.defer(() -> {
                if (!cut) {
                    replaceVersions(record, replaced);
                }
                return streamVersions();
            });
        }

        @Override
        public Mono<StreamOriginReadResult> streamOrigins() {
            return Mono.fromSupplier(() -> new StreamOriginReadResult.Listed(
                    List.copyOf(storedOrigins.values()), System.nanoTime() / 1_000_000));
        }

        @Override
        public Mono<Boolean> saveStreamOrigins(List<StoredOrigins> added, List<String> removed) {
            return Mono.fromSupplier(() -> {
                added.forEach(batch -> storedOrigins.put(batch.name(), batch));
                removed.forEach(storedOrigins::remove);
                return true;
            });
        }

        private ConfigurationReadResult readResult() {
            if (cut) {
                return new ConfigurationReadResult.Unavailable("cut");
            }
            return document.isEmpty()
                    ? new ConfigurationReadResult.Unchanged(at(revision.get()))
                    : new ConfigurationReadResult.Published(
                            at(revision.get()), document.getBytes(StandardCharsets.UTF_8));
        }
    }
}
