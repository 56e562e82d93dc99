package org.radishpass.routing.control;

import java.time.Duration;
import org.radishpass.routing.stream.StreamOriginExchange;
import org.radishpass.routing.stream.StreamVersionRecord;
import org.radishpass.runtime.thread.ControlThread;

/**
 * Decides after a start from when on this router answers for streams that callers take up: once it knows what is recorded and
 * stored of them. Until then they wait. Confined to the control thread.
 */
final class StreamSettling {
    /** How long streams wait at most, in milliseconds. A caller allows a second for its request to be read. */
    private static final long MAX_WAIT_MILLIS = 1_500;

    private final ControlThread thread;
    private final StreamOriginExchange streams;
    private final StreamVersionTracker versions;
    private final StreamOriginJournal journal;
    private boolean reading;

    StreamSettling(
            ControlThread thread,
            StreamOriginExchange streams,
            StreamVersionTracker versions,
            StreamOriginJournal journal) {
        this.thread = thread;
        this.streams = streams;
        this.versions = versions;
        this.journal = journal;
    }

    /** Lets streams wait. */
    void start() {
        streams.settling();
        thread.scheduleAfter(Duration.ofMillis(MAX_WAIT_MILLIS), streams::settled);
    }

    /**
     * Reads what is stored, once the record of versions and the registered routers are known.
     *
     * @param peers the other routers
     */
    void update(PeerExchange peers) {
        StreamVersionRecord record = versions.record().orElse(null);
        if (reading || record == null) {
            return;
        }
        reading = true;
        if (!record.mixed()) {
            streams.settled();
        } else if (peers.storesStreamOrigins()) {
            journal.load(peers.first(), streams::settled);
        }
    }
}
