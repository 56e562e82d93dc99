package org.radishpass.routing.framing;

/**
 * How a response ended: whole, broken off, or in a way that shows neither. It is decided once for each response, before
 * anything is counted or sent that depends on it.
 *
 * @since 0.10.0
 */
public sealed interface ResponseEnd {
    /**
     * Decides how a response ended whose HTTP message is complete, or whose connection was closed in order after a
     * close-delimited body.
     *
     * @param framing the framing of the body
     * @param success whether the status is not an error
     * @param bodyBytes the number of bytes of the body that were received
     * @param position where the body ended, if it is a stream of events
     */
    static ResponseEnd of(BodyFraming framing, boolean success, long bodyBytes, EventPosition position) {
        if (position == EventPosition.INSIDE_EVENT) {
            return new BrokenOff(EndEvidence.ENDED_INSIDE_EVENT, "the response ended in the middle of an event");
        }
        if (framing.statesEnd()) {
            return new Whole(framing.evidence());
        }
        boolean noContent =
                position == EventPosition.BEFORE_FIRST_EVENT || (position == EventPosition.NO_STREAM && bodyBytes == 0);
        if (success && noContent) {
            return new Unknown(EndEvidence.CONNECTION_ENDED_WITHOUT_CONTENT);
        }
        return new Whole(
                position == EventPosition.BETWEEN_EVENTS
                        ? EndEvidence.CONNECTION_ENDED_BETWEEN_EVENTS
                        : framing.evidence());
    }

    /** Returns what shows how the response ended. */
    EndEvidence evidence();

    /** Tells whether the response is complete for certain, as far as HTTP and the events of a stream can tell. */
    boolean whole();

    /** Returns why the response is not relayed as complete, as written to logs. */
    String cause();

    /**
     * The response is complete.
     *
     * @param evidence what shows it
     * @since 0.10.0
     */
    record Whole(EndEvidence evidence) implements ResponseEnd {
        @Override
        public boolean whole() {
            return true;
        }

        @Override
        public String cause() {
            return "";
        }
    }

    /**
     * The response ended before it was complete.
     *
     * @param evidence what shows it
     * @param cause what happened, as written to logs
     * @since 0.10.0
     */
    record BrokenOff(EndEvidence evidence, String cause) implements ResponseEnd {
        @Override
        public boolean whole() {
            return false;
        }
    }

    /**
     * Nothing shows whether the response is complete. It is not relayed as complete.
     *
     * @param evidence how it ended
     * @since 0.10.0
     */
    record Unknown(EndEvidence evidence) implements ResponseEnd {
        @Override
        public boolean whole() {
            return false;
        }

        @Override
        public String cause() {
            return "the connection was closed before any content of a response without length";
        }
    }
}
