package org.radishpass.router.internal.control;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import org.radishpass.core.fleet.FleetView;
import org.radishpass.core.fleet.Vm;
import org.radishpass.records.Configuration;

/**
 * Immutable control state that the control thread publishes; each request reads one snapshot.
 *
 * @param fleet the routers and endpoints
 * @param owners the router that keeps each endpoint's slot account, by the endpoint's id
 * @param configuration the active configuration
 * @param ready whether this router is ready to serve callers
 * @since 0.1.0
 */
public record RouterSnapshot(FleetView fleet, Map<String, Vm> owners, Configuration configuration, boolean ready) {
    /** Returns the empty snapshot that is used before the fleet and the configuration are known. */
    static RouterSnapshot initial() {
        return new RouterSnapshot(FleetView.empty(), Map.of(), Configuration.empty(), false);
    }

    /** Returns the number of routers that are not leaving, at least 1. */
    public int activeRouterCount() {
        return (int)
                Math.max(1, fleet.vms().stream().filter(vm -> !vm.leaving()).count());
    }

    /**
     * Returns the router that keeps an endpoint's slot account.
     *
     * @param endpointId the endpoint's id
     */
    public Optional<Vm> owner(String endpointId) {
        return Optional.ofNullable(owners.get(endpointId));
    }

    /**
     * Returns the pool that currently serves a model.
     *
     * <p>This is the pool of the configured version. While no endpoint has loaded that version, a pool of another
     * version that is still loaded is returned instead, if there is one.
     *
     * @param modelName the model's name, or the names of model and adapter separated by a colon
     */
    public Optional<String> poolFor(String modelName) {
        return configuration.poolOf(modelName).map(configured -> {
            if (!fleet.acceptingEndpoints(configured).isEmpty()) {
                return configured;
            }
            String prefix = configured.substring(0, configured.lastIndexOf('@') + 1);
            return fleet.acceptingPools().stream()
                    .filter(pool -> pool.startsWith(prefix))
                    .max(Comparator.naturalOrder())
                    .orElse(configured);
        });
    }
}
