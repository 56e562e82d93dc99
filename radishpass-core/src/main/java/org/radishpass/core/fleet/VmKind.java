package org.radishpass.core.fleet;

import java.util.Locale;
import java.util.Optional;

/**
 * The purpose of a machine according to the platform's VM list.
 *
 * @since 0.1.0
 */
public enum VmKind {
    /** The machine runs a router. */
    ROUTER,
    /** The machine runs an {@link Engine}. */
    ENGINE,
    /** The machine runs a {@link Runner}. */
    RUNNER;

    /**
     * Returns the kind with a given name in the VM list, or empty if there is none.
     *
     * @param name the name; upper and lower case are equivalent
     */
    public static Optional<VmKind> byName(String name) {
        for (VmKind kind : values()) {
            if (kind.name().toLowerCase(Locale.ROOT).equals(name.toLowerCase(Locale.ROOT))) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }
}
