package org.radishpass.routing.control;

import java.time.Duration;
import java.util.function.LongConsumer;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.fleet.StorePosition;
import org.radishpass.routing.traffic.MonotonicClock;
import org.radishpass.runtime.thread.ControlThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.Disposable;
import reactor.core.Disposables;

/**
 * Long-polls the store for newer configurations while this router is responsible for it. Only one response is received
 * at a time: a request that is repeated while a large document is being received would compete with that transfer for
 * the same link. Runs on the control thread.
 */
final class ConfigurationFollower {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationFollower.class);

    /** How long the store may hold a long poll open; most polls end earlier. */
    static final Duration MAX_LONG_POLL_DURATION = Duration.ofSeconds(20);

    /**
     * Milliseconds from which a transfer of the whole document counts as slow, so that this router relies on peers. The
     * value is half of the time within which a change must be in force everywhere.
     */
    private static final long SLOW_TRANSFER_MILLIS = 400;

    /**
     * Milliseconds from the start of a full read until its result is in force from which newer versions may have been
     * accepted meanwhile, so that the store is asked again. A third of the time within which a change must be in force.
     */
    private static final long MAX_UNCONFIRMED_READ_MILLIS = 1_000;

    /**
     * Largest accepted ratio between the size of a long-poll response and that of the last document read in full. The
     * factor leaves room for one version with some more routes. A larger response contains several versions, of which
     * only the newest is needed: receiving 25 changes of 500 KB made within 2 s took 10 s at 14 Mbit/s.
     */
    private static final long MAX_RESPONSE_TO_DOCUMENT_RATIO = 2;

    /** Size in bytes up to which a response is always accepted; such a response takes 20 ms on a link of 7 Mbit/s. */
    private static final long ALWAYS_ACCEPTED_BYTES = 16_384;

    private final ControlThread thread;
    private final MonotonicClock clock;
    private final ControlSource source;
    private final Listener listener;
    private final RetryBackoff retryBackoff = new RetryBackoff();
    private final Disposable.Swap request = Disposables.swap();
    private State state = State.IDLE;
    private boolean checkInProgress;
    private StorePosition position = StorePosition.NONE;
    private long fullReadBytes;
    private long fullReadRequestedAtMillis;
    private long fullReadStartedAtMillis;
    private long fullReadMillis;
    private boolean fullReadNeeded = true;
    private boolean firstLongPoll = true;
    private boolean historyLost;
    private int latestRequestNumber;
    private int latestPauseNumber;

    ConfigurationFollower(ControlThread thread, MonotonicClock clock, ControlSource source, Listener listener) {
        this.thread = thread;
        this.clock = clock;
        this.source = source;
        this.listener = listener;
    }

    /** The state of the request to the store. */
    private enum State {
        /** No request is in progress or scheduled. */
        IDLE,
        /** A request is in progress and no response has started to arrive. */
        WAITING,
        /** A response is being received. */
        RECEIVING,
        /** The store did not respond or was restored; the next request is delayed. */
        PAUSING
    }

    /** Reads the configuration once, whether or not this router is responsible for it. */
    void start() {
        thread.run(this::sendRequest);
    }

    /**
     * Starts a long poll if this router is responsible for configurations and none is running, and cancels the running
     * one if it is not.
     */
    void pollIfResponsible() {
        boolean responsible = listener.readsConfiguration();
        if (state == State.IDLE && responsible) {
            sendRequest();
        } else if (state == State.WAITING && !responsible && !keepsFirstLongPoll()) {
            cancelLongPoll();
        }
    }

    /**
     * Tells whether the running long poll is the first since a full read and must not be cancelled, because the fleet
     * may not have discovered its members yet. After a slow full read it may be cancelled: peers send compressed
     * documents, which arrive sooner.
     */
    private boolean keepsFirstLongPoll() {
        return firstLongPoll && fullReadMillis < SLOW_TRANSFER_MILLIS;
    }

    /**
     * Cancels a long poll that was started because no other reader had been seen for a while. Left open, the poll would
     * transfer the next document a second time and uncompressed, although peers send it compressed. For 1,500 routes
     * that occupies a link of 10 Mbit/s for 0.5 s and delays callers' requests.
     */
    private void cancelLongPoll() {
        latestRequestNumber++;
        request.update(Disposables.disposed());
        state = State.IDLE;
    }

    /**
     * Handles a restore of the store from a snapshot by reading the whole configuration again. Changes since the last
     * response can no longer be queried, and a long poll for them would not end.
     *
     * @param turn how long this router waits so that other routers can read first
     */
    void storeRestored(Duration turn) {
        fullReadNeeded = true;
        if (state == State.WAITING || state == State.PAUSING) {
            cancelLongPoll();
            pauseFor(turn);
        }
    }

    /**
     * Sends a separate request for a newer configuration if the store's revision is beyond the one known here. The long
     * poll may be stuck on a connection whose remote end is gone.
     */
    void checkForNewer(StorePosition newest) {
        if (state != State.WAITING || checkInProgress || !newest.after(position) || fullReadNeeded) {
            return;
        }
        checkInProgress = true;
        source.configurationAfter(position, Duration.ZERO, bytes -> {})
                .publishOn(thread.scheduler())
                .subscribe(result -> {
                    checkInProgress = false;
                    apply(result);
                    if (fullReadNeeded) {
                        restartLongPoll();
                    }
                });
    }

    /**
     * Restarts the long poll after another request to the store has failed, since the poll may be stuck as well. A
     * response that is already being received continues.
     */
    void restartLongPoll() {
        if (state == State.WAITING) {
            sendRequest();
        }
    }

    /**
     * Asks the store whether a newer configuration exists, until a response arrives soon enough to rely on. A router
     * that starts while configurations change in quick succession may need seconds to read a large one.
     */
    private void confirm() {
        long requestedAtMillis = clock.millis();
        source.configurationAfter(position, Duration.ZERO, bytes -> {})
                .publishOn(thread.scheduler())
                .subscribe(result -> {
                    apply(result);
                    if (result instanceof ConfigurationReadResult.Unavailable) {
                        thread.scheduleAfter(retryBackoff.next(), this::confirm);
                    } else if (result instanceof ConfigurationReadResult.HistoryLost) {
                        restartLongPoll();
                    } else if (clock.millis() - requestedAtMillis > MAX_UNCONFIRMED_READ_MILLIS) {
                        confirm();
                    } else {
                        listener.configurationConfirmed();
                    }
                });
    }

    private void sendRequest() {
        state = State.WAITING;
        int number = ++latestRequestNumber;
        boolean fullRead = fullReadNeeded;
        if (fullRead) {
            fullReadRequestedAtMillis = clock.millis();
        }
        LongConsumer onResponseStart = bytes -> thread.run(() -> responseStarted(number, bytes));
        request.update((fullRead
                        ? source.configuration(onResponseStart)
                        : source.configurationAfter(position, MAX_LONG_POLL_DURATION, onResponseStart))
                .publishOn(thread.scheduler())
                .subscribe(result -> responseReceived(result, fullRead)));
    }

    private void responseStarted(int number, long bytes) {
        if (number != latestRequestNumber || state != State.WAITING) {
            return;
        }
        if (fullReadNeeded) {
            fullReadBytes = bytes;
            fullReadStartedAtMillis = clock.millis();
        } else if (bytes > Math.max(ALWAYS_ACCEPTED_BYTES, MAX_RESPONSE_TO_DOCUMENT_RATIO * fullReadBytes)) {
            fullReadNeeded = true;
            sendRequest();
            return;
        }
        state = State.RECEIVING;
        listener.receivingChanged();
    }

    /** Tells whether a response is being received. */
    boolean receiving() {
        return state == State.RECEIVING;
    }

    private void responseReceived(ConfigurationReadResult result, boolean fullRead) {
        latestRequestNumber++;
        state = State.IDLE;
        if (result instanceof ConfigurationReadResult.Unavailable unavailable) {
            LOG.info("cannot read the configuration from the store, retrying after a pause: {}", unavailable.reason());
            listener.receivingChanged();
            pauseFor(retryBackoff.next());
            return;
        }
        boolean historyLostAgain = historyLost && result instanceof ConfigurationReadResult.HistoryLost;
        firstLongPoll = fullRead;
        if (fullRead) {
            fullReadMillis = clock.millis() - fullReadStartedAtMillis;
            fullReadNeeded = false;
        } else {
            historyLost = false;
        }
        if (fullRead) {
            listener.configurationUnconfirmed();
        }
        apply(result);
        if (fullRead && clock.millis() - fullReadRequestedAtMillis <= MAX_UNCONFIRMED_READ_MILLIS) {
            listener.configurationConfirmed();
        } else if (fullRead) {
            confirm();
        }
        if (historyLostAgain) {
            pauseFor(retryBackoff.next());
        } else {
            retryBackoff.reset();
            pollIfResponsible();
        }
    }

    private void pauseFor(Duration time) {
        state = State.PAUSING;
        int number = ++latestPauseNumber;
        thread.scheduleAfter(time, () -> {
            if (number == latestPauseNumber) {
                pauseEnded();
            }
        });
    }

    private void pauseEnded() {
        if (state == State.PAUSING) {
            state = State.IDLE;
            pollIfResponsible();
        }
    }

    private void apply(ConfigurationReadResult result) {
        if (result instanceof ConfigurationReadResult.Published published) {
            position = laterPosition(published.position());
            listener.drainsRead(published.drains());
            listener.configurationRead(published.content());
        } else if (result instanceof ConfigurationReadResult.Unchanged unchanged) {
            position = laterPosition(unchanged.position());
            listener.drainsRead(unchanged.drains());
        } else if (result instanceof ConfigurationReadResult.HistoryLost) {
            LOG.info(
                    "the store no longer has the history since the last read; reading the whole configuration",
                    LogEvent.STORE_HISTORY.field());
            fullReadNeeded = true;
            historyLost = true;
        }
    }

    private StorePosition laterPosition(StorePosition read) {
        return read.after(position) ? read : position;
    }

    /** Receives what the store reports about the configuration; called on the control thread. */
    interface Listener {
        /** Tells whether this router is currently responsible for reading configurations from the store. */
        boolean readsConfiguration();

        /** Called when a response starts to arrive, and when a request fails. */
        void receivingChanged();

        /** Called with the data-centre drains that a response reports. */
        void drainsRead(DrainReport report);

        /** Called with a configuration document that the store returned. */
        void configurationRead(byte[] content);

        /** Called before a configuration that was read in full, and that may be outdated, is passed on. */
        void configurationUnconfirmed();

        /** Called when the store had no newer configuration a short time ago. */
        void configurationConfirmed();
    }
}
