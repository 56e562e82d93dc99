package org.radishpass.routing.control;

import org.radishpass.routing.event.LogEvent;

/**
 * Why a read of the store gave no result.
 *
 * @since 0.12.0
 */
public enum ReadFailure {
    /** The store did not respond, refused the request, or its response was incomplete. */
    STORE_UNAVAILABLE("store-unavailable", true, LogEvent.STORE_LOST),
    /** The store responded, but this router failed to process the response. */
    PROCESSING("processing", false, LogEvent.STORE_RESPONSE_FAILED);

    private final String label;
    private final boolean outage;
    private final LogEvent event;

    ReadFailure(String label, boolean outage, LogEvent event) {
        this.label = label;
        this.outage = outage;
        this.event = event;
    }

    /** Returns the label of this failure in metrics and logs. */
    public String label() {
        return label;
    }

    /** Tells whether registrations may have expired meanwhile because their owners could not renew them. */
    public boolean registrationsMayExpire() {
        return outage;
    }

    /** Returns the event of the log line that reports this failure. */
    public LogEvent event() {
        return event;
    }
}
