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
 * Waits for newer configurations at the store while that is this router's duty. One answer is on its way at a time: begun anew while it
 * comes, a large document would share its link with itself. Runs on the control thread.
 */
final class ConfigurationFollower {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationFollower.class);

    /** How long the store may hold a question for a newer configuration; most end earlier. */
    static final Duration WAIT = Duration.ofSeconds(20);

    /** Milliseconds that the whole document takes to come from which on peers are waited for: half of what a change may take in all. */
    private static final long SLOW_MILLIS = 400;

    /**
     * How many times as large as the last whole configuration an answer may be: one version with some more routes. A larger one holds
     * several versions, of which one is wanted. After 25 changes of 500 KB within 2 s it took 10 s on 14 Mbit/s.
     */
    private static final long MOST_TIMES = 2;

    /** Bytes up to which an answer is taken whatever the last one was: 20 ms on a link of 7 Mbit/s. */
    private static final long SMALL_BYTES = 16_384;

    private final ControlThread thread;
    private final MonotonicClock clock;
    private final ControlSource source;
    private final Listener listener;
    private final RetryPause pause = new RetryPause();
    private final Disposable.Swap call = Disposables.swap();
    private State state = State.IDLE;
    private boolean checking;
    private StorePosition position = StorePosition.NONE;
    private long wholeBytes;
    private long wholeBegunAtMillis;
    private long wholeMillis;
    private boolean readsWhole = true;
    private boolean firstWait = true;
    private boolean historyLost;
    private int lastCall;
    private int lastPause;

    ConfigurationFollower(ControlThread thread, MonotonicClock clock, ControlSource source, Listener listener) {
        this.thread = thread;
        this.clock = clock;
        this.source = source;
        this.listener = listener;
    }

    /** What it does now. */
    private enum State {
        IDLE,
        /** Something is asked of the store, and nothing has come. */
        WAITING,
        /** An answer comes. */
        RECEIVING,
        /** The store did not answer, or was restored, and is asked again after a while. */
        PAUSING
    }

    /** Reads the configuration, whatever the duty. */
    void start() {
        thread.run(this::ask);
    }

    /** Waits for a newer configuration while that is this router's duty, and no longer. */
    void followIfDue() {
        boolean due = listener.readsConfiguration();
        if (state == State.IDLE && due) {
            ask();
        } else if (state == State.WAITING && !due && !firstWait()) {
            stopWaiting();
        }
    }

    /**
     * Tells whether this is the first wait after a start, in which the fleet may not have met; not where the document came so slowly that
     * peers, who give it packed, are the sooner ones.
     */
    private boolean firstWait() {
        return firstWait && wholeMillis < SLOW_MILLIS;
    }

    /**
     * Ends a wait that was begun because others had not been seen for a while. A wait that is left open brings the next document, which peers give packed, a second time and whole: 0.5 s of a link of 10 Mbit/s for
     * 1,500 routes, in which callers' requests wait.
     */
    private void stopWaiting() {
        lastCall++;
        call.update(Disposables.disposed());
        state = State.IDLE;
    }

    /**
     * The store was restored from a snapshot. What changed since the last answer cannot be asked for any more, and a wait for it would not end.
     *
     * @param turn how long this router lets others ask first
     */
    void storeRestored(Duration turn) {
        readsWhole = true;
        if (state == State.WAITING || state == State.PAUSING) {
            stopWaiting();
            pauseFor(turn);
        }
    }

    /**
     * Asks for a newer configuration apart if the store's revision has risen beyond what is known of it: the wait may hang on a connection
     * whose peer is gone.
     */
    void check(StorePosition newest) {
        if (state != State.WAITING || checking || !newest.after(position) || readsWhole) {
            return;
        }
        checking = true;
        source.configurationAfter(position, Duration.ZERO, bytes -> {})
                .publishOn(thread.scheduler())
                .subscribe(result -> {
                    checking = false;
                    take(result);
                    if (readsWhole) {
                        restartWait();
                    }
                });
    }

    /** The store did not answer to something else: the wait may hang as well, and is begun anew, but not while an answer comes. */
    void restartWait() {
        if (state == State.WAITING) {
            ask();
        }
    }

    private void ask() {
        state = State.WAITING;
        int number = ++lastCall;
        boolean whole = readsWhole;
        LongConsumer begun = bytes -> thread.run(() -> begun(number, bytes));
        call.update((whole ? source.configuration(begun) : source.configurationAfter(position, WAIT, begun))
                .publishOn(thread.scheduler())
                .subscribe(result -> answered(result, whole)));
    }

    private void begun(int number, long bytes) {
        if (number != lastCall || state != State.WAITING) {
            return;
        }
        if (readsWhole) {
            wholeBytes = bytes;
            wholeBegunAtMillis = clock.millis();
        } else if (bytes > Math.max(SMALL_BYTES, MOST_TIMES * wholeBytes)) {
            readsWhole = true;
            ask();
            return;
        }
        state = State.RECEIVING;
        listener.arrivalChanged();
    }

    /** Tells whether an answer comes. */
    boolean receiving() {
        return state == State.RECEIVING;
    }

    private void answered(ConfigurationReading result, boolean whole) {
        lastCall++;
        state = State.IDLE;
        if (result instanceof ConfigurationReading.Unavailable unavailable) {
            LOG.info("the configuration cannot be read: {}", unavailable.reason());
            listener.arrivalChanged();
            pauseFor(pause.next());
            return;
        }
        boolean lostAgain = historyLost && result instanceof ConfigurationReading.HistoryLost;
        firstWait = whole;
        if (whole) {
            wholeMillis = clock.millis() - wholeBegunAtMillis;
            readsWhole = false;
        } else {
            historyLost = false;
        }
        take(result);
        if (lostAgain) {
            pauseFor(pause.next());
        } else {
            pause.reset();
            followIfDue();
        }
    }

    private void pauseFor(Duration time) {
        state = State.PAUSING;
        int number = ++lastPause;
        thread.after(time, () -> {
            if (number == lastPause) {
                pauseOver();
            }
        });
    }

    private void pauseOver() {
        if (state == State.PAUSING) {
            state = State.IDLE;
            followIfDue();
        }
    }

    private void take(ConfigurationReading result) {
        if (result instanceof ConfigurationReading.Published published) {
            position = later(published.position());
            listener.drains(published.drains());
            listener.published(published.content());
        } else if (result instanceof ConfigurationReading.Unchanged unchanged) {
            position = later(unchanged.position());
            listener.drains(unchanged.drains());
        } else if (result instanceof ConfigurationReading.HistoryLost) {
            LOG.info("the store has lost its history; the configuration is read anew", LogEvent.STORE_HISTORY.field());
            readsWhole = true;
            historyLost = true;
        }
    }

    private StorePosition later(StorePosition read) {
        return read.after(position) ? read : position;
    }

    /** Hears what came; called on the control thread. */
    interface Listener {
        /** Tells whether this router has to wait for configurations now. */
        boolean readsConfiguration();

        /** An answer begins to come, or has not come whole. */
        void arrivalChanged();

        /** The store says this of data centres that are to get nothing new. */
        void drains(DrainReading reading);

        /** The store has this configuration. */
        void published(byte[] content);
    }
}
