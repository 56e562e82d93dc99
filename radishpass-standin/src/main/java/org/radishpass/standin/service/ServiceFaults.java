package org.radishpass.standin.service;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The faults of a service that are switched on.
 *
 * @param lostAnswers the share of calls that run and whose answer is lost
 * @param crossed the share of answers that name another request
 * @param delayMillis how long each call takes longer
 * @param down whether it closes connections at once
 * @param declining whether it refuses all calls before running them
 * @since 0.1.0
 */
public record ServiceFaults(double lostAnswers, double crossed, long delayMillis, boolean down, boolean declining) {
    /** No faults. */
    public static final ServiceFaults NONE = new ServiceFaults(0, 0, 0, false, false);

    /**
     * Reads faults from JSON; what is left out is off.
     *
     * @param json the faults
     */
    public static ServiceFaults of(JsonNode json) {
        return new ServiceFaults(
                json.path("lostAnswers").asDouble(0),
                json.path("crossed").asDouble(0),
                json.path("delayMillis").asLong(0),
                json.path("down").asBoolean(false),
                json.path("declining").asBoolean(false));
    }
}
