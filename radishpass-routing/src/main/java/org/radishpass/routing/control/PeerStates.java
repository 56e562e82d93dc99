package org.radishpass.routing.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.radishpass.core.fleet.Address;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.routing.load.InFlight;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Translates between messages to peers and the types of this module. */
final class PeerStates {
    private static final Logger LOG = LoggerFactory.getLogger(PeerStates.class);

    private PeerStates() {
        // static methods only
    }

    /** Returns the entries that tell of work, by endpoint. */
    static List<PeerMessage.EndpointWork> entries(Map<String, InFlight> work) {
        List<PeerMessage.EndpointWork> entries = new ArrayList<>(work.size());
        work.forEach((id, amount) -> entries.add(new PeerMessage.EndpointWork(id, amount.requests(), amount.tokens())));
        return entries;
    }

    /** Returns the work that a message tells of, by endpoint. */
    static Map<String, InFlight> work(PeerMessage.RoutingState state) {
        Map<String, InFlight> work = new HashMap<>();
        state.work().forEach(entry -> work.put(entry.endpointId(), new InFlight(entry.requests(), entry.tokens())));
        return work;
    }

    /** Returns the addresses that can be read; the others are logged and left out. */
    static List<Address> addresses(List<String> texts) {
        List<Address> addresses = new ArrayList<>();
        for (String text : texts) {
            int colon = text.lastIndexOf(':');
            try {
                addresses.add(new Address(
                        text.substring(0, Math.max(0, colon)), Integer.parseInt(text.substring(colon + 1))));
            } catch (IllegalArgumentException e) {
                LOG.warn("{} is not the address of a router: {}", text, e.getMessage());
            }
        }
        return addresses;
    }
}
