package org.radishpass.routing.control;

import java.time.Duration;
import org.radishpass.routing.traffic.MonotonicClock;
import org.radishpass.runtime.thread.ControlThread;

/**
 * Reads the list of endpoints at a fixed pace while that is this router's duty, and after pauses while the store does not answer.
 * Runs on the control thread.
 */
final class ListFollower {
    /** Milliseconds between readings of the list; an endpoint that leaves must get nothing new after two seconds. */
    private static final long PACE_MILLIS = 850;

    /** Milliseconds between looks at this router's duty: a fraction of the time after which a list is stale. */
    private static final long LOOK_MILLIS = 150;

    /**
     * Milliseconds without an answer until the store is asked once more, over another connection: more than it takes while it is
     * slow (0.27 s). A kept connection may be dead since a cut; waiting for it to time out makes the list 0.8 s older.
     */
    private static final long ASK_AGAIN_MILLIS = 350;

    private final ControlThread thread;
    private final MonotonicClock clock;
    private final ControlSource source;
    private final Listener listener;
    private final RetryPause pause = new RetryPause();
    private int turn;
    private boolean asking;

    ListFollower(ControlThread thread, MonotonicClock clock, ControlSource source, Listener listener) {
        this.thread = thread;
        this.clock = clock;
        this.source = source;
        this.listener = listener;
    }

    void start() {
        thread.run(this::readIfDue);
    }

    /** Does not wait for the next turn, if reading the list is this router's duty. */
    void readSoon() {
        if (!asking) {
            turn++;
            readIfDue();
        }
    }

    private void readAfter(Duration pause) {
        int next = ++turn;
        thread.after(pause, () -> {
            if (next == turn) {
                readIfDue();
            }
        });
    }

    private void readIfDue() {
        if (!listener.readsList()) {
            readAfter(Duration.ofMillis(LOOK_MILLIS));
            return;
        }
        asking = true;
        Round round = new Round();
        round.ask();
        thread.after(Duration.ofMillis(ASK_AGAIN_MILLIS), round::askAgain);
    }

    /** One reading: one question to the store, or two. */
    private final class Round {
        private int unanswered;
        private boolean over;

        private void ask() {
            unanswered++;
            long askedAtMillis = clock.millis();
            source.directory().publishOn(thread.scheduler()).subscribe(result -> answered(result, askedAtMillis));
        }

        private void askAgain() {
            if (!over) {
                ask();
            }
        }

        private void answered(DirectoryReading result, long askedAtMillis) {
            unanswered--;
            if (over) {
                return;
            }
            if (result instanceof DirectoryReading.Listed listed) {
                over = true;
                pause.reset();
                listener.listed(listed, askedAtMillis);
                asking = false;
                readAfter(Duration.ofMillis(PACE_MILLIS));
            } else if (result instanceof DirectoryReading.Unavailable unavailable && unanswered == 0) {
                over = true;
                listener.listUnavailable(unavailable.reason());
                asking = false;
                readAfter(pause.next());
            }
        }
    }

    /** Hears what came of readings; called on the control thread. */
    interface Listener {
        /** Tells whether this router has to read the list now. */
        boolean readsList();

        /**
         * The list was read.
         *
         * @param listed what the store answered
         * @param askedAtMillis when it was asked, on the monotonic clock in milliseconds
         */
        void listed(DirectoryReading.Listed listed, long askedAtMillis);

        /** The store did not answer, or refused. */
        void listUnavailable(String reason);
    }
}
