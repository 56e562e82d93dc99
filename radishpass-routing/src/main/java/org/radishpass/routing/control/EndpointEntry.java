package org.radishpass.routing.control;

import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * The result of decoding an entry of the endpoint list. Processes other than endpoints may write to the list too.
 *
 * @since 0.4.0
 */
public sealed interface EndpointEntry {
    /**
     * A valid entry, whose endpoint requests may be sent to.
     *
     * @param endpoint the endpoint
     * @since 0.4.0
     */
    record Usable(ServiceEndpoint endpoint) implements EndpointEntry {}

    /**
     * An entry that does not describe a usable endpoint; other entries are not affected.
     *
     * @param name the name under which the entry is stored
     * @param fault the kind of fault
     * @param detail a description of the fault for operators
     * @since 0.4.0
     */
    record Unusable(String name, EntryFault fault, String detail) implements EndpointEntry {}
}
