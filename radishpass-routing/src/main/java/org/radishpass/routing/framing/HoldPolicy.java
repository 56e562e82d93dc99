package org.radishpass.routing.framing;

/**
 * Which events of a stream are held back until they are complete.
 *
 * @since 0.10.0
 */
public enum HoldPolicy {
    /** Each event, so that a stream that breaks off can be resumed after its last complete event. */
    EACH_EVENT {
        @Override
        boolean holdsAfter(long events) {
            return true;
        }
    },
    /** The first event only, so that a response without any complete event can still be refused. */
    FIRST_EVENT {
        @Override
        boolean holdsAfter(long events) {
            return events == 0;
        }
    };

    /**
     * Tells whether the next event is held back.
     *
     * @param events the number of complete events before it
     */
    abstract boolean holdsAfter(long events);
}
