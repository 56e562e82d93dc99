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
 * An immutable snapshot of the configuration and the endpoints as known to the control plane, published to the traffic
 * event loop as a whole.
 *
 * @param configurationInForce the configuration in force, or null before the first one is known
 * @param inForceSinceMillis since when the configuration is in force at this router, on the monotonic clock in
 *     milliseconds
 * @param newerConfigurationExpectedUntilMillis until when a newer configuration that is known to exist is expected, on the monotonic
 *     clock in milliseconds; a time in the past if there is none
 * @param directory the endpoints
 * @param directoryKnown whether an endpoint list has been read
 * @param receiving whether the missing part of the view is being received, that is, a part of the data has arrived
 *     recently
 * @param origin the origin of the endpoint list
 * @param routers the number of registered routers, including this one; {@link #ROUTERS_UNKNOWN} before peers are known
 * @param eligibility the restrictions that exclude endpoints from new requests
 * @param members the routers by name, used to assign shared duties
 * @since 0.2.0
 */
public record RoutingView(
        @Nullable RoutingConfiguration configurationInForce,
        long inForceSinceMillis,
        long newerConfigurationExpectedUntilMillis,
        EndpointDirectory directory,
        boolean directoryKnown,
        boolean receiving,
        DirectoryOrigin origin,
        int routers,
        EndpointEligibility eligibility,
        FleetMembers members) {
    /** The value of {@link #routers} while no other routers are known. */
    public static final int ROUTERS_UNKNOWN = 0;

    /** The view before anything is known. */
    public static final RoutingView UNKNOWN =
            new RoutingView(null, 0, EndpointDirectory.EMPTY, false, false, DirectoryOrigin.UNKNOWN, ROUTERS_UNKNOWN);

    /** Creates a view without restrictions on endpoints, in which the other routers are not known by name. */
    public RoutingView(
            @Nullable RoutingConfiguration configurationInForce,
            long inForceSinceMillis,
            EndpointDirectory directory,
            boolean directoryKnown,
            boolean receiving,
            DirectoryOrigin origin,
            int routers) {
        this(
                configurationInForce,
                inForceSinceMillis,
                Long.MIN_VALUE,
                directory,
                directoryKnown,
                receiving,
                origin,
                routers,
                EndpointEligibility.ALL,
                FleetMembers.UNKNOWN);
    }

    /** Returns the configuration in force. */
    public Optional<RoutingConfiguration> configuration() {
        return Optional.ofNullable(configurationInForce);
    }

    /** Returns the limits on what callers may send. */
    public CallerLimits limits() {
        return configurationInForce == null ? CallerLimits.DEFAULT : configurationInForce.limits();
    }

    /** Tells whether requests can be routed, that is, a configuration and an endpoint list are known. */
    public boolean complete() {
        return configurationInForce != null && directoryKnown;
    }
}
