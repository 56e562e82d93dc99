package org.radishpass.core.fleet;

import java.util.Locale;
import java.util.Optional;

/**
 * What the platform says a machine is for.
 *
 * @since 0.1.0
 */
public enum VmKind {
    /** It runs a router. */
    ROUTER,
    /** It runs a model engine. */
    ENGINE,
    /** It runs a plain service. */
    RUNNER;

    /**
     * Finds a kind by its name in the list.
     *
     * @param name the name, in any case
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
