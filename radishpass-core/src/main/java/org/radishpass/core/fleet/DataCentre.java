package org.radishpass.core.fleet;

/**
 * Names one data centre.
 *
 * @param name the name that settings and the VM list use for it
 * @since 0.1.0
 */
public record DataCentre(String name) {
    /** Checks the name. */
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
