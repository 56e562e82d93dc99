package org.radishpass.core.fleet;

/**
 * A data centre, identified by its name.
 *
 * @param name the name by which settings and the platform's VM list refer to the data centre
 * @since 0.1.0
 */
public record DataCentre(String name) {
    /** Checks that the name is not blank. */
    public DataCentre {
        if (name.isBlank()) {
            throw new IllegalArgumentException("the name of a data centre must not be blank");
        }
    }

    @Override
    public String toString() {
        return name;
    }
}
