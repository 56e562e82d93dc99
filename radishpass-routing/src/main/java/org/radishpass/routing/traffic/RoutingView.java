package org.radishpass.routing.traffic;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.config.CallerLimits;
import org.radishpass.routing.config.RoutingConfiguration;
import org.radishpass.routing.fleet.DirectoryOrigin;
import org.radishpass.routing.fleet.EndpointDirectory;
import org.radishpass.routing.fleet.EndpointEligibility;
import org.radishpass.routing.fleet.FleetMembers;

/**
 * What the control side believes at one moment; immutable, published to the traffic thread as a whole.
 *
 * @param published the configuration in force, or null before the first is known
 * @param inForceSinceMillis since when it is in force here, on the monotonic clock in milliseconds
 * @param newerExpectedUntilMillis until when a newer one is expected that is known to exist, on the monotonic clock in milliseconds; long
 *     ago if there is none
 * @param directory the endpoints
 * @param directoryKnown whether a list of endpoints has been read at all
 * @param arriving whether what is still missing is on its way: something of it has come lately
 * @param origin where the list of endpoints comes from
 * @param routers the routers that are registered, this one included; {@link #ROUTERS_UNKNOWN} before peers were joined
 * @param eligibility what keeps endpoints from new work
 * @param members the routers by name, for duties that are shared out
 * @since 0.2.0
 */
public record RoutingView(
        @Nullable RoutingConfiguration published,
        long inForceSinceMillis,
        long newerExpectedUntilMillis,
        EndpointDirectory directory,
        boolean directoryKnown,
        boolean arriving,
        DirectoryOrigin origin,
        int routers,
        EndpointEligibility eligibility,
        FleetMembers members) {
    /** The number of routers while nothing is known of others. */
    public static final int ROUTERS_UNKNOWN = 0;

    /** What is believed before anything is known. */
    public static final RoutingView UNKNOWN =
            new RoutingView(null, 0, EndpointDirectory.EMPTY, false, false, DirectoryOrigin.UNKNOWN, ROUTERS_UNKNOWN);

    /** Creates a view in which nothing keeps endpoints from new work, and the other routers are not known by name. */
    public RoutingView(
            @Nullable RoutingConfiguration published,
            long inForceSinceMillis,
            EndpointDirectory directory,
            boolean directoryKnown,
            boolean arriving,
            DirectoryOrigin origin,
            int routers) {
        this(
                published,
                inForceSinceMillis,
                Long.MIN_VALUE,
                directory,
                directoryKnown,
                arriving,
                origin,
                routers,
                EndpointEligibility.ALL,
                FleetMembers.UNKNOWN);
    }

    /** Returns the configuration in force. */
    public Optional<RoutingConfiguration> configuration() {
        return Optional.ofNullable(published);
    }

    /** Returns what callers may send. */
    public CallerLimits limits() {
        return published == null ? CallerLimits.DEFAULT : published.limits();
    }

    /** Tells whether requests can be routed. */
    public boolean complete() {
        return published != null && directoryKnown;
    }
}
