package org.radishpass.routing.control;

import static net.logstash.logback.argument.StructuredArguments.kv;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.fleet.StorePosition;
import org.radishpass.routing.stream.StreamOrigin;
import org.radishpass.routing.stream.StreamOriginExchange;
import org.radishpass.routing.stream.StreamVersionRecord;
import org.radishpass.routing.stream.StreamVersions;
import org.radishpass.routing.stream.VersionPeriod;
import org.radishpass.routing.traffic.MonotonicClock;
import org.radishpass.runtime.thread.ControlThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the record of the software versions at which streams may have begun. A version is recorded in the store before the
 * first stream may begin there, so that after a start of all routers the record tells which versions are possible. The router
 * that reads the list of endpoints writes the record, and other routers are told. Runs on the control thread.
 */
final class StreamVersionKeeper {
    private static final Logger LOG = LoggerFactory.getLogger(StreamVersionKeeper.class);

    /** How long a router with a list of endpoints waits for the record before it serves callers without it. */
    private static final long MAX_SERVE_DELAY_MILLIS = 500;

    /** Milliseconds after which a router that does not read the list sees to it itself that a version is recorded. */
    private static final long TAKE_OVER_MILLIS = 1_000;

    /** Milliseconds between reads of the record by the router that reads the list. */
    private static final long REFRESH_MILLIS = 10_000;

    /**
     * Milliseconds without a read and without a message of a peer after which any other router reads the record. Less than
     * the time for which streams of an ended period count as possible.
     */
    private static final long MAX_SILENCE_MILLIS = 30_000;

    /** Milliseconds between two writes of this router. */
    private static final long MIN_WRITE_INTERVAL_MILLIS = 100;

    private static final long NEVER = Long.MAX_VALUE;

    private final ControlThread thread;
    private final MonotonicClock clock;
    private final ControlSource source;
    private final ControlState state;
    private final StreamOriginExchange streams;
    private final Listener listener;
    private final StreamVersionTracker tracker;
    private final StreamVersionReader reader;
    private final WriteTurn turn = new WriteTurn();
    private final RetryBackoff backoff = new RetryBackoff();
    private final PendingConfirmations confirmations = new PendingConfirmations();
    private boolean callInProgress;
    private boolean confirmationScheduled;
    private boolean trusted;
    private long retryAtMillis;
    private long refreshAtMillis;
    private long serveAtMillis = NEVER;

    StreamVersionKeeper(
            ControlThread thread,
            MonotonicClock clock,
            ControlSource source,
            ControlState state,
            StreamOriginExchange streams,
            Listener listener) {
        this.thread = thread;
        this.clock = clock;
        this.source = source;
        this.state = state;
        this.streams = streams;
        this.listener = listener;
        this.tracker = state.streamVersions();
        this.reader = new StreamVersionReader(source);
    }

    /** Reads the record. */
    void start() {
        thread.run(this::read);
    }

    /**
     * Tells whether callers can be served: the record is known, or it takes too long. Without the record, no stream begins
     * that can be taken up elsewhere, but all other requests are served.
     */
    boolean ready() {
        return tracker.record().isPresent() || clock.millis() >= serveAtMillis;
    }

    /** Returns the ids of the listed endpoints whose versions are not recorded. */
    Set<String> endpointsWithoutNewStreams() {
        StreamVersionRecord record = tracker.record().orElse(StreamVersionRecord.UNREADABLE);
        Set<StreamOrigin> open = new HashSet<>();
        record.periods().stream().filter(VersionPeriod::isOpen).forEach(period -> open.add(period.origin()));
        Set<String> ids = new HashSet<>();
        for (ServiceEndpoint endpoint : state.directory().directory().all()) {
            if (!open.contains(StreamOrigin.of(endpoint))) {
                ids.add(endpoint.id());
            }
        }
        return ids;
    }

    /** Reads the record again, for a stream that a caller takes up. The receiver is told whether it was read. */
    void confirm(Consumer<Boolean> done) {
        confirmations.add(done);
        readForConfirmations();
    }

    private void readForConfirmations() {
        Duration delay = confirmations.delay(clock.millis());
        if (delay.isZero()) {
            read();
        } else if (!confirmationScheduled) {
            confirmationScheduled = true;
            thread.scheduleAfter(delay, () -> {
                confirmationScheduled = false;
                read();
            });
        }
    }

    /** Applies a record that a peer has read. */
    void receive(StreamVersionRecord record, StorePosition writtenAt) {
        refreshAtMillis = clock.millis() + MAX_SILENCE_MILLIS;
        if (tracker.offer(record, writtenAt)) {
            recordChanged("a peer");
        }
    }

    /**
     * Checks after each read or confirmation of the list of endpoints whether the record has to change. Also called when the
     * known routers have changed.
     */
    void check() {
        long nowMillis = clock.millis();
        if (serveAtMillis == NEVER && state.directory().known()) {
            serveAtMillis = nowMillis + MAX_SERVE_DELAY_MILLIS;
            thread.scheduleAfter(Duration.ofMillis(MAX_SERVE_DELAY_MILLIS), listener::streamVersionsChanged);
        }
        if (trusted != trustworthy()) {
            publish();
        }
        Optional<StreamVersionRecord> wanted = wanted(nowMillis);
        if (wanted.isEmpty()) {
            turn.end();
        } else if (!turn.awaited()) {
            turn.begin(nowMillis, turnDelay());
            thread.scheduleAfter(turnDelay(), this::check);
        }
        if (callInProgress || nowMillis < retryAtMillis) {
            return;
        }
        if (wanted.isPresent() && turn.due(nowMillis)) {
            writeOrRead(wanted.get());
        } else if (nowMillis >= refreshAtMillis) {
            read();
        }
    }

    /** Has the first routers by name write at once, and each other one only if none before it has. */
    private Duration turnDelay() {
        Duration stagger = listener.staggeredDelay();
        return listener.readsDirectory() ? stagger : stagger.plusMillis(TAKE_OVER_MILLIS);
    }

    private void writeOrRead(StreamVersionRecord wanted) {
        if (turn.readsFirst()) {
            read();
            return;
        }
        callInProgress = true;
        source.saveStreamVersions(wanted, tracker.position())
                .publishOn(thread.scheduler())
                .subscribe(this::onWritten);
    }

    /** Returns the record that the store should hold; empty if it holds that one, or if too little is known. */
    private Optional<StreamVersionRecord> wanted(long nowMillis) {
        long storeMillis = state.storeClock().latestStoreMillis(nowMillis);
        return state.directory().known() && storeMillis != ControlSource.TIME_UNKNOWN
                ? tracker.wanted(
                        state.directory().directory().all(),
                        state.directory().listVersion().settled(),
                        storeMillis,
                        era())
                : Optional.empty();
    }

    private void onWritten(StreamVersionReadResult result) {
        callInProgress = false;
        retryAtMillis = clock.millis() + MIN_WRITE_INTERVAL_MILLIS;
        thread.scheduleAfter(Duration.ofMillis(MIN_WRITE_INTERVAL_MILLIS), this::check);
        if (apply(result)) {
            listener.tellStreamVersions();
        }
        continueAfterCall();
    }

    private void read() {
        if (callInProgress) {
            return;
        }
        callInProgress = true;
        List<Consumer<Boolean>> confirmed = confirmations.take(clock.millis(), listener.routers());
        reader.read().publishOn(thread.scheduler()).subscribe(read -> onRead(read, confirmed));
    }

    private void onRead(StreamVersionReader.Read read, List<Consumer<Boolean>> confirmed) {
        callInProgress = false;
        if (read.result() instanceof StreamVersionReadResult.Absent) {
            tracker.noteMissing(read.unrecordedStreams());
            publish();
        }
        boolean available = apply(read.result());
        confirmed.forEach(done -> done.accept(available));
        if (available && listener.readsDirectory()) {
            listener.tellStreamVersions();
        }
        continueAfterCall();
    }

    /** Applies a result and returns whether a record was read. */
    private boolean apply(StreamVersionReadResult result) {
        long nowMillis = clock.millis();
        if (result instanceof StreamVersionReadResult.Unavailable unavailable) {
            retryAtMillis = nowMillis + backoff.next().toMillis();
            thread.scheduleAfter(Duration.ofMillis(retryAtMillis - nowMillis), this::retry);
            LOG.info(
                    "cannot read or write the record of software versions in the store, trying again: {}",
                    unavailable.reason());
            return false;
        }
        backoff.reset();
        refreshAtMillis = nowMillis
                + (listener.readsDirectory() ? REFRESH_MILLIS : MAX_SILENCE_MILLIS)
                + listener.staggeredDelay().toMillis();
        if (result instanceof StreamVersionReadResult.Found found) {
            if (tracker.offer(found.record(), found.position())) {
                recordChanged("store");
            }
            return true;
        }
        return false;
    }

    private void retry() {
        if (tracker.record().isEmpty()) {
            read();
        }
        check();
    }

    private void continueAfterCall() {
        if (!confirmations.isEmpty()) {
            readForConfirmations();
        }
        check();
    }

    private void recordChanged(String origin) {
        LOG.info(
                "streams may have begun at {} software versions, as recorded in the store, from {}",
                tracker.record().map(record -> record.periods().size()).orElse(0),
                origin,
                LogEvent.STREAM_VERSIONS.field(),
                kv("position", tracker.position().toString()),
                kv("record", String.valueOf(tracker.record().orElse(null))));
        publish();
        check();
    }

    private boolean trustworthy() {
        return tracker.validIn(era())
                && state.storeClock().latestStoreMillis(clock.millis()) != ControlSource.TIME_UNKNOWN
                && listener.allRoutersRecordVersions();
    }

    private void publish() {
        trusted = trustworthy();
        long nowMillis = clock.millis();
        streams.versions(
                trusted
                        ? tracker.record()
                                .map(record -> StreamVersions.of(
                                        record, millis -> state.storeClock().latestLocalMillis(millis, nowMillis)))
                                .orElse(StreamVersions.UNKNOWN)
                        : StreamVersions.UNKNOWN);
        listener.streamVersionsChanged();
    }

    private long era() {
        return state.era().eraForPeers();
    }

    /** The router whose record this is. Called on the control thread. */
    interface Listener {
        /** Tells whether this router reads the list of endpoints from the store. */
        boolean readsDirectory();

        /** Returns the number of routers of the fleet, as far as known. */
        int routers();

        /** Tells whether all other routers are known, and begin streams at recorded versions only. */
        boolean allRoutersRecordVersions();

        /** Returns how long this router waits before an action that all routers take. */
        Duration staggeredDelay();

        /** Called when the record, or whether it is trusted, has changed. */
        void streamVersionsChanged();

        /** Tells the other routers what is recorded. */
        void tellStreamVersions();
    }
}
