package org.radishpass.router.internal.control;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import org.radishpass.core.fleet.FleetView;
import org.radishpass.core.fleet.Vm;
import org.radishpass.records.Configuration;

/**
 * What the control thread publishes for traffic: read once a request, never changed.
 *
 * @param fleet the routers and endpoints
 * @param owners the owner of each endpoint's account, by the endpoint's identity
 * @param configuration the configuration in force
 * @param ready whether callers may be served
 * @since 0.1.0
 */
public record RouterSnapshot(FleetView fleet, Map<String, Vm> owners, Configuration configuration, boolean ready) {
    /** Returns the snapshot before anything is known. */
    static RouterSnapshot initial() {
        return new RouterSnapshot(FleetView.empty(), Map.of(), Configuration.empty(), false);
    }

    /** Returns the number of routers that take requests, at least 1. */
    public int routers() {
        return (int)
                Math.max(1, fleet.vms().stream().filter(vm -> !vm.leaving()).count());
    }

    /**
     * Returns the router that keeps an endpoint's account.
     *
     * @param endpointId the endpoint
     */
    public Optional<Vm> owner(String endpointId) {
        return Optional.ofNullable(owners.get(endpointId));
    }

    /**
     * Returns the pool that serves a model now: that of the version in the record or, while no endpoint has loaded it
     * yet, that of another version that is still loaded.
     *
     * @param named the model, or model and adapter parted by a colon
     */
    public Optional<String> poolFor(String named) {
        return configuration.poolOf(named).map(wanted -> {
            if (!fleet.open(wanted).isEmpty()) {
                return wanted;
            }
            String prefix = wanted.substring(0, wanted.lastIndexOf('@') + 1);
            return fleet.openPools().stream()
                    .filter(pool -> pool.startsWith(prefix))
                    .max(Comparator.naturalOrder())
                    .orElse(wanted);
        });
    }
}
