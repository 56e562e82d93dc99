package org.radishpass.routing.control;

import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * What an entry of the list of endpoints turned out to be. Others may write there too.
 *
 * @since 0.4.0
 */
public sealed interface EndpointEntry {
    /**
     * An endpoint that requests may be sent to.
     *
     * @param endpoint the endpoint
     * @since 0.4.0
     */
    record Usable(ServiceEndpoint endpoint) implements EndpointEntry {}

    /**
     * An entry that names no endpoint to use; the others hold.
     *
     * @param name the name under which it stands
     * @param fault what is wrong
     * @param detail what exactly, for people
     * @since 0.4.0
     */
    record Unusable(String name, EntryFault fault, String detail) implements EndpointEntry {}
}
