package org.radishpass.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The faults that are injected into the table service.
 *
 * @param outage whether all transactions are refused
 * @param delayMillis the delay of each transaction, in milliseconds
 * @param lostResponseProbability the probability, from 0 to 1, that a write is committed but its response is lost
 * @since 0.1.0
 */
public record TableFaults(boolean outage, long delayMillis, double lostResponseProbability) {
    /** No faults. */
    public static final TableFaults NONE = new TableFaults(false, 0, 0);

    /**
     * Reads faults from JSON. A fault whose key is missing is off.
     *
     * @param json the object with a key for each fault
     */
    public static TableFaults fromJson(JsonNode json) {
        return new TableFaults(
                json.path("outage").asBoolean(false),
                json.path("delayMillis").asLong(0),
                json.path("lostAnswers").asDouble(0));
    }
}
