package org.radishpass.routing.fleet;

/**
 * Names a region, in which data centres stand.
 *
 * @param name its name
 * @since 0.6.0
 */
public record Region(String name) {
    /** Checks the name. */
    public Region {
        if (name.isBlank()) {
            throw new IllegalArgumentException("the name of a region must not be blank");
        }
    }
}
