package org.radishpass.routing.config;

import java.util.OptionalInt;
import java.util.Set;
import org.radishpass.routing.fleet.Region;

/**
 * A customer whose keys requests carry.
 *
 * @param name its name
 * @param priority its rank where it goes before that of routes; 0 is the most urgent
 * @param allowedRegions the regions in which its requests may run; empty if that is everywhere
 * @since 0.2.0
 */
public record Workspace(String name, OptionalInt priority, Set<Region> allowedRegions) {
    /** Takes a copy. */
    public Workspace {
        allowedRegions = Set.copyOf(allowedRegions);
    }

    /** Creates a workspace whose requests may run anywhere. */
    public Workspace(String name, OptionalInt priority) {
        this(name, priority, Set.of());
    }
}
