package org.radishpass.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The faults of the table service that are switched on.
 *
 * @param outage whether it refuses everything
 * @param delayMillis how long each answer is held back
 * @param lostAnswers the share of writes whose answer is lost after they took effect
 * @since 0.1.0
 */
public record TableFaults(boolean outage, long delayMillis, double lostAnswers) {
    /** No faults. */
    public static final TableFaults NONE = new TableFaults(false, 0, 0);

    /**
     * Reads faults from JSON; what is left out is off.
     *
     * @param json the faults
     */
    public static TableFaults of(JsonNode json) {
        return new TableFaults(
                json.path("outage").asBoolean(false),
                json.path("delayMillis").asLong(0),
                json.path("lostAnswers").asDouble(0));
    }
}
