package org.radishpass.routing.fleet;

import java.util.Comparator;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;

/**
 * A router of the fleet, as the router registered in the store or introduced itself to a peer.
 *
 * @param address the address at which the router accepts connections from peers
 * @param dataCentre the data centre of the router; {@link #UNLOCATED} if only the address is known
 * @param cores the CPU capacity that the router may use, in cores
 * @param relayPort the port at which the router accepts requests that other routers relay; {@link #NO_RELAY} if none
 * @param messageLevel the level of messages that the router reads; {@link #UNKNOWN_LEVEL} from earlier releases
 * @since 0.3.0
 */
public record FleetRouter(Address address, DataCentre dataCentre, double cores, int relayPort, int messageLevel) {
    /** The level of a router of an earlier release, or of which the level is not known. */
    public static final int UNKNOWN_LEVEL = 0;

    /** The level of a router that keeps what began streams. */
    public static final int STREAM_ORIGINS_LEVEL = 1;

    /** The level of a router that begins streams at recorded software versions only, which is that of this release. */
    public static final int STREAM_VERSIONS_LEVEL = 2;

    /** The value of {@link #relayPort} of a router that accepts no relayed requests, or of which that is not known. */
    public static final int NO_RELAY = 0;

    /** Placeholder for a data centre that is not known yet. */
    public static final DataCentre UNLOCATED = new DataCentre("unlocated");

    /** The order in which routers are asked to work for others: by CPU capacity, largest first, then by id. */
    public static final Comparator<FleetRouter> LARGEST_FIRST =
            Comparator.comparingDouble(FleetRouter::cores).reversed().thenComparing(FleetRouter::id);

    /** Creates a router of which it is not known whether it accepts relayed requests. */
    public FleetRouter(Address address, DataCentre dataCentre, double cores) {
        this(address, dataCentre, cores, NO_RELAY, UNKNOWN_LEVEL);
    }

    /** Tells whether the router keeps for others what began streams. */
    public boolean keepsStreamOrigins() {
        return messageLevel >= STREAM_ORIGINS_LEVEL;
    }

    /** Tells whether the router begins streams at recorded software versions only. */
    public boolean recordsStreamVersions() {
        return messageLevel >= STREAM_VERSIONS_LEVEL;
    }

    /** Tells whether the router accepts requests that other routers relay. */
    public boolean relays() {
        return relayPort != NO_RELAY;
    }

    /** Returns this router with the relay port and the message level of an earlier entry, if its own are not known. */
    public FleetRouter withMissingFrom(FleetRouter earlier) {
        return new FleetRouter(
                address,
                dataCentre,
                cores,
                relays() ? relayPort : earlier.relayPort,
                Math.max(messageLevel, earlier.messageLevel));
    }

    /**
     * Returns a router of which only the address is known.
     *
     * @param address the address at which the router accepts connections from peers
     */
    public static FleetRouter unlocated(Address address) {
        return new FleetRouter(address, UNLOCATED, 0);
    }

    /** Returns the id by which peers identify the router. */
    public String id() {
        return address.toString();
    }

    /** Tells whether the data centre of the router is known. */
    public boolean located() {
        return !dataCentre.equals(UNLOCATED);
    }
}
