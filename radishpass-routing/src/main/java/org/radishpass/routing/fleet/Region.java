package org.radishpass.routing.fleet;

/**
 * A region, which contains data centres.
 *
 * @param name the name of the region, not blank
 * @since 0.6.0
 */
public record Region(String name) {
    /**
     * Creates a region.
     *
     * @throws IllegalArgumentException if the name is blank
     */
    public Region {
        if (name.isBlank()) {
            throw new IllegalArgumentException("the name of a region must not be blank");
        }
    }
}
