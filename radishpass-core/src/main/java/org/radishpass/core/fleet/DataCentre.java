package org.radishpass.core.fleet;

import java.util.Optional;

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

    /**
     * Returns the data centre with a name that another program wrote; empty if the name cannot be one.
     *
     * @since 0.12.0
     */
    public static Optional<DataCentre> parse(String name) {
        return name.isBlank() ? Optional.empty() : Optional.of(new DataCentre(name));
    }

    @Override
    public String toString() {
        return name;
    }
}
