package org.radishpass.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The faults that are injected into an engine.
 *
 * @param mismatchedIdProbability the probability, from 0 to 1, that an answer carries another request's identifier
 * @param cutStreamProbability the probability, from 0 to 1, that a stream breaks off in the middle
 * @param frozen whether the engine stops answering but keeps its connections open
 * @param down whether the engine closes connections at once, as if the machine were gone
 * @param declining whether the engine refuses all requests before running them
 * @since 0.1.0
 */
public record EngineFaults(
        double mismatchedIdProbability, double cutStreamProbability, boolean frozen, boolean down, boolean declining) {
    /** No faults. */
    public static final EngineFaults NONE = new EngineFaults(0, 0, false, false, false);

    /**
     * Reads faults from JSON. A fault whose key is missing is off.
     *
     * @param json the object with a key for each fault
     */
    public static EngineFaults fromJson(JsonNode json) {
        return new EngineFaults(
                json.path("crossed").asDouble(0),
                json.path("cut").asDouble(0),
                json.path("frozen").asBoolean(false),
                json.path("down").asBoolean(false),
                json.path("declining").asBoolean(false));
    }
}
