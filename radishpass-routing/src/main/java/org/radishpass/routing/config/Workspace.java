package org.radishpass.routing.config;

import java.util.OptionalInt;

/**
 * A customer whose keys requests carry.
 *
 * @param name its name
 * @param priority its rank where it goes before that of routes; 0 is the most urgent
 * @since 0.2.0
 */
public record Workspace(String name, OptionalInt priority) {}
