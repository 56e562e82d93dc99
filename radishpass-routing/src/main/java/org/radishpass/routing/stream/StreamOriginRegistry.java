package org.radishpass.routing.stream;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Knows what began each stream. Other routers are told only while streams of the service may have begun at more than one
 * software version. State is confined to one thread.
 *
 * @since 0.10.0
 */
public final class StreamOriginRegistry implements StreamOriginExchange {
    /** Milliseconds for which streams are collected before other routers are told, in one message each. */
    public static final long TELL_DELAY_MILLIS = 20;

    /** Maximum number of streams that are taken up while this router settles; further ones do not wait. */
    private static final int MAX_WAITING = 4_096;

    private final Executor thread;
    private final LongSupplier clock;
    private final Consumer<Runnable> delayed;
    private final KnownOrigins known = new KnownOrigins();
    private final KnownOrigins untold = new KnownOrigins();
    private final List<KnownOrigin> toTell = new ArrayList<>();
    private final List<Runnable> waiting = new ArrayList<>();
    private StreamVersions versions = StreamVersions.UNKNOWN;
    private boolean settled = true;
    private long longestLifetimeMillis;
    private StreamOriginPeers peers = StreamOriginPeers.NONE;

    /**
     * Creates an empty registry.
     *
     * @param thread runs tasks on the thread to which the state is confined
     * @param clock the monotonic clock, in milliseconds
     * @param delayed runs a task on that thread after {@link #TELL_DELAY_MILLIS}
     */
    public StreamOriginRegistry(Executor thread, LongSupplier clock, Consumer<Runnable> delayed) {
        this.thread = thread;
        this.clock = clock;
        this.delayed = delayed;
    }

    /**
     * Records what began a stream.
     *
     * @param begun the stream and its origin, which must be known
     * @param lifetimeMillis the longest time for which a stream can be taken up, in milliseconds
     */
    public void began(KnownOrigin begun, long lifetimeMillis) {
        longestLifetimeMillis = Math.max(longestLifetimeMillis, lifetimeMillis);
        known.add(begun);
        if (soleVersion(begun.origin().service(), lifetimeMillis).isPresent()) {
            untold.add(begun);
        } else {
            tellSoon(List.of(begun));
        }
    }

    /**
     * Finds out what began a stream.
     *
     * @param stream the hash of the stream
     * @param service the service to which a request without a stream would go
     * @param lifetimeMillis the longest time for which a stream can be taken up, in milliseconds
     * @param answer receives the origin, on the thread of this registry, and from where it is known; empty if nobody knows
     */
    public void resolve(
            long stream, String service, long lifetimeMillis, BiConsumer<Optional<StreamOrigin>, OriginSource> answer) {
        Optional<StreamOrigin> kept = known.find(stream, clock.getAsLong());
        if (kept.isPresent()) {
            answer.accept(kept, OriginSource.KEPT);
        } else if (!settled && waiting.size() < MAX_WAITING) {
            waiting.add(() -> resolve(stream, service, lifetimeMillis, answer));
        } else if (soleVersion(service, lifetimeMillis).isPresent()) {
            // another router may have recorded a second version, and a stream may have begun there since
            peers.confirmVersions(confirmed ->
                    thread.execute(() -> resolveSoleVersion(stream, service, lifetimeMillis, confirmed, answer)));
        } else {
            peers.ask(stream, service, lifetimeMillis, found -> thread.execute(() -> answerOfPeers(found, answer)));
        }
    }

    private void resolveSoleVersion(
            long stream,
            String service,
            long lifetimeMillis,
            boolean confirmed,
            BiConsumer<Optional<StreamOrigin>, OriginSource> answer) {
        Optional<StreamOrigin> sole = soleVersion(service, lifetimeMillis);
        if (confirmed && sole.isPresent()) {
            answer.accept(sole, OriginSource.SOLE_VERSION);
            return;
        }
        peers.ask(
                stream,
                service,
                lifetimeMillis,
                found -> thread.execute(() -> {
                    // without the store, the responsible routers would have been told of a stream of a second version
                    boolean agreed = sole.isPresent() && found.origin().isEmpty() && found.answers() > 0;
                    if (agreed) {
                        answer.accept(sole, OriginSource.SOLE_VERSION);
                    } else {
                        answerOfPeers(found, answer);
                    }
                }));
    }

    private static void answerOfPeers(OriginAnswer found, BiConsumer<Optional<StreamOrigin>, OriginSource> answer) {
        answer.accept(found.origin(), found.origin().isPresent() ? OriginSource.PEER : OriginSource.UNKNOWN);
    }

    private Optional<StreamOrigin> soleVersion(String service, long lifetimeMillis) {
        return versions.sole(service, lifetimeMillis, clock.getAsLong());
    }

    private void tellSoon(List<KnownOrigin> origins) {
        boolean alreadyScheduled = !toTell.isEmpty();
        toTell.addAll(origins);
        if (!alreadyScheduled && !toTell.isEmpty()) {
            delayed.accept(this::tell);
        }
    }

    /** Tells what has been collected. Before other routers are known, it waits for them. */
    private void tell() {
        if (peers == StreamOriginPeers.NONE) {
            discardOldest();
            delayed.accept(this::tell);
            return;
        }
        peers.tell(List.copyOf(toTell));
        toTell.clear();
    }

    private void discardOldest() {
        int excess = toTell.size() - KnownOrigins.MAX_STREAMS;
        if (excess > 0) {
            toTell.subList(0, excess).clear();
        }
    }

    /** Removes the origins of streams that can no longer be taken up. */
    public void removeExpired() {
        long nowMillis = clock.getAsLong();
        known.removeExpired(nowMillis);
        untold.removeExpired(nowMillis);
    }

    /** Returns the number of streams whose origins this router keeps. */
    public int size() {
        return known.size();
    }

    @Override
    public void peers(StreamOriginPeers newPeers) {
        thread.execute(() -> peers = newPeers);
    }

    /** Sets the recorded versions. Other routers are told of the streams whose service may now have several. */
    @Override
    public void versions(StreamVersions newVersions) {
        thread.execute(() -> {
            versions = newVersions;
            tellSoon(untold.take(origin ->
                    soleVersion(origin.service(), longestLifetimeMillis).isEmpty()));
        });
    }

    @Override
    public void settling() {
        thread.execute(() -> settled = false);
    }

    @Override
    public void settled() {
        thread.execute(() -> {
            settled = true;
            List<Runnable> resumed = List.copyOf(waiting);
            waiting.clear();
            resumed.forEach(Runnable::run);
        });
    }

    @Override
    public void told(List<KnownOrigin> origins) {
        thread.execute(() -> origins.forEach(known::add));
    }

    @Override
    public void lookUp(long stream, String service, long lifetimeMillis, Consumer<Optional<StreamOrigin>> answer) {
        thread.execute(() -> answer.accept(known.find(stream, clock.getAsLong())));
    }
}
