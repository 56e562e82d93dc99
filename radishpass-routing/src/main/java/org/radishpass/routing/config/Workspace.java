package org.radishpass.routing.config;

import java.util.OptionalInt;
import java.util.Set;
import org.radishpass.routing.fleet.Region;

/**
 * A customer, identified by the API key of a request.
 *
 * @param name the name of the workspace
 * @param priority the priority that overrides the priority of the route, if any; 0 is the most urgent
 * @param allowedRegions the regions in which the workspace's requests may run; empty if all regions are allowed
 * @since 0.2.0
 */
public record Workspace(String name, OptionalInt priority, Set<Region> allowedRegions) {
    /** Creates a workspace with a copy of the allowed regions. */
    public Workspace {
        allowedRegions = Set.copyOf(allowedRegions);
    }

    /** Creates a workspace whose requests may run in every region. */
    public Workspace(String name, OptionalInt priority) {
        this(name, priority, Set.of());
    }
}
