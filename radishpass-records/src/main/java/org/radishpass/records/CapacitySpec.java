package org.radishpass.records;

/**
 * How many engines of a model each data centre keeps.
 *
 * @param name the record
 * @param model the model
 * @param ready the engines that stand ready
 * @param asleep the engines that sleep
 * @since 0.1.0
 */
public record CapacitySpec(String name, String model, int ready, int asleep) {
    /**
     * Reads a stored spec.
     *
     * @param stored the record
     */
    static CapacitySpec of(StoredRecord stored) {
        return new CapacitySpec(
                stored.name(),
                stored.spec().path("model").asText(),
                stored.spec().path("ready").asInt(),
                stored.spec().path("asleep").asInt(0));
    }
}
