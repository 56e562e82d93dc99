package org.radishpass.routing.control;

import java.time.Duration;
import org.radishpass.routing.traffic.MonotonicClock;
import org.radishpass.runtime.thread.ControlThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the endpoint list at a fixed interval while this router is responsible for it, and after a {@link RetryBackoff}
 * while the store does not respond. Runs on the control thread.
 */
final class EndpointListFollower {
    /**
     * Milliseconds from a response to the next read. The interval is short because an endpoint that leaves must receive
     * nothing new after 2 s.
     */
    private static final long READ_INTERVAL_MILLIS = 850;

    /**
     * Milliseconds between checks whether this router has become responsible; a fraction of the time after which a list
     * is stale.
     */
    private static final long DUTY_CHECK_INTERVAL_MILLIS = 150;

    /**
     * Milliseconds without a response after which a second request is sent over another connection. The value is above
     * the response time of a slow store (270 ms). A pooled connection may be dead after a network interruption, and
     * waiting for it to time out would make the list 0.8 s older.
     */
    private static final long SECOND_REQUEST_DELAY_MILLIS = 350;

    private static final Logger LOG = LoggerFactory.getLogger(EndpointListFollower.class);

    private final ControlThread thread;
    private final MonotonicClock clock;
    private final ControlSource source;
    private final Listener listener;
    private final RetryBackoff retryBackoff = new RetryBackoff();
    private int latestScheduleNumber;
    private boolean readInProgress;

    EndpointListFollower(ControlThread thread, MonotonicClock clock, ControlSource source, Listener listener) {
        this.thread = thread;
        this.clock = clock;
        this.source = source;
        this.listener = listener;
    }

    void start() {
        thread.run(this::readIfDue);
    }

    /**
     * Reads the list now instead of at the next scheduled time, if this router is responsible for it and no read is in
     * progress.
     */
    void readNowIfDue() {
        if (!readInProgress) {
            latestScheduleNumber++;
            readIfDue();
        }
    }

    private void scheduleRead(Duration delay) {
        int scheduleNumber = ++latestScheduleNumber;
        thread.scheduleAfter(delay, () -> {
            if (scheduleNumber == latestScheduleNumber) {
                readIfDue();
            }
        });
    }

    private void readIfDue() {
        if (!listener.readsList()) {
            scheduleRead(Duration.ofMillis(DUTY_CHECK_INTERVAL_MILLIS));
            return;
        }
        readInProgress = true;
        ListRead read = new ListRead();
        read.sendRequest();
        thread.scheduleAfter(Duration.ofMillis(SECOND_REQUEST_DELAY_MILLIS), read::sendSecondRequest);
    }

    /** One read of the list, with one request to the store or two. */
    private final class ListRead {
        private int pendingRequests;
        private boolean finished;

        private void sendRequest() {
            pendingRequests++;
            long askedAtMillis = clock.millis();
            source.directory()
                    .publishOn(thread.scheduler())
                    .subscribe(result -> responseReceived(result, askedAtMillis));
        }

        private void sendSecondRequest() {
            if (!finished) {
                sendRequest();
            }
        }

        private void responseReceived(DirectoryReadResult result, long askedAtMillis) {
            pendingRequests--;
            if (finished) {
                return;
            }
            if (result instanceof DirectoryReadResult.Listed listed) {
                finished = true;
                retryBackoff.reset();
                apply(listed, askedAtMillis);
                readInProgress = false;
                scheduleRead(Duration.ofMillis(READ_INTERVAL_MILLIS));
            } else if (result instanceof DirectoryReadResult.Unavailable unavailable && pendingRequests == 0) {
                finished = true;
                listener.listUnavailable(unavailable, askedAtMillis);
                readInProgress = false;
                scheduleRead(retryBackoff.next());
            }
        }

        /** Applies a list. No failure may end the reading of later lists, since the process goes on after an error too. */
        private void apply(DirectoryReadResult.Listed listed, long askedAtMillis) {
            try {
                listener.listed(listed, askedAtMillis);
            } catch (RuntimeException | Error e) {
                LOG.error("the endpoint list could not be applied, reading it again", e);
                listener.listUnavailable(
                        new DirectoryReadResult.Unavailable(ReadFailure.PROCESSING, e.toString()), askedAtMillis);
            }
        }
    }

    /** Receives the results of reads; called on the control thread. */
    interface Listener {
        /** Tells whether this router is currently responsible for reading the list. */
        boolean readsList();

        /**
         * Called when the list was read.
         *
         * @param listed the store's response
         * @param askedAtMillis when the request was sent, on the monotonic clock in milliseconds
         */
        void listed(DirectoryReadResult.Listed listed, long askedAtMillis);

        /**
         * Called when the list could not be read.
         *
         * @param result why
         * @param askedAtMillis when the request was sent, on the monotonic clock in milliseconds
         */
        void listUnavailable(DirectoryReadResult.Unavailable result, long askedAtMillis);
    }
}
