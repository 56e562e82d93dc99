package org.radishpass.standin.service;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The faults that are injected into a plain service.
 *
 * @param lostResponseProbability the probability, from 0 to 1, that a call runs but its response is lost
 * @param mismatchedIdProbability the probability, from 0 to 1, that a response carries another request's identifier
 * @param delayMillis the extra time that each call takes, in milliseconds
 * @param down whether the service closes connections at once
 * @param declining whether the service refuses all calls before running them
 * @since 0.1.0
 */
public record ServiceFaults(
        double lostResponseProbability,
        double mismatchedIdProbability,
        long delayMillis,
        boolean down,
        boolean declining) {
    /** No faults. */
    public static final ServiceFaults NONE = new ServiceFaults(0, 0, 0, false, false);

    /**
     * Reads faults from JSON. A fault whose key is missing is off.
     *
     * @param json the object with a key for each fault
     */
    public static ServiceFaults fromJson(JsonNode json) {
        return new ServiceFaults(
                json.path("lostAnswers").asDouble(0),
                json.path("crossed").asDouble(0),
                json.path("delayMillis").asLong(0),
                json.path("down").asBoolean(false),
                json.path("declining").asBoolean(false));
    }
}
