package org.radishpass.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The faults of an engine that are switched on.
 *
 * @param crossed the share of answers that name another request
 * @param cut the share of streams that break off in the middle
 * @param frozen whether it stops without closing anything
 * @param down whether it closes connections at once, as if the machine were gone
 * @param declining whether it refuses all requests before running them
 * @since 0.1.0
 */
public record EngineFaults(double crossed, double cut, boolean frozen, boolean down, boolean declining) {
    /** No faults. */
    public static final EngineFaults NONE = new EngineFaults(0, 0, false, false, false);

    /**
     * Reads faults from JSON; what is left out is off.
     *
     * @param json the faults
     */
    public static EngineFaults of(JsonNode json) {
        return new EngineFaults(
                json.path("crossed").asDouble(0),
                json.path("cut").asDouble(0),
                json.path("frozen").asBoolean(false),
                json.path("down").asBoolean(false),
                json.path("declining").asBoolean(false));
    }
}
