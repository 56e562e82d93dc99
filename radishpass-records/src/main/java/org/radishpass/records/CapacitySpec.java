package org.radishpass.records;

/**
 * The number of ready and of sleeping engines of a model that every data centre keeps.
 *
 * @param name the name of the record
 * @param model the name of the model
 * @param ready the number of engines that can serve requests at once
 * @param asleep the number of sleeping engines
 * @since 0.1.0
 */
public record CapacitySpec(String name, String model, int ready, int asleep) {
    /**
     * Creates the spec from a stored record.
     *
     * @param stored the stored record
     */
    static CapacitySpec of(StoredRecord stored) {
        return new CapacitySpec(
                stored.name(),
                stored.spec().path("model").asText(),
                stored.spec().path("ready").asInt(),
                stored.spec().path("asleep").asInt(0));
    }
}
