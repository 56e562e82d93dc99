package org.radishpass.routing.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.config.ColdStart;
import org.radishpass.routing.config.RoutingConfiguration;
import org.radishpass.routing.config.ServiceSpec;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * Determines which endpoints are cold, which means that they can take only part of their usual load because they have
 * just started. An endpoint is cold if its registration entry says so. After a data centre returns from a drain, its
 * endpoints are also treated as cold until their entries have had time to state whether they are.
 */
final class ColdEndpoints {
    /**
     * Milliseconds after which a read of the endpoint list reflects a change in an endpoint's state. Endpoints renew
     * their entries every 1.2 s, and a new entry becomes visible shortly after it is written.
     */
    static final long ENTRY_UPDATE_DELAY_MILLIS = 1_500;

    private final DirectoryTracker directory;
    private final DrainTracker drains;
    private final StoreClock storeClock;

    ColdEndpoints(DirectoryTracker directory, DrainTracker drains, StoreClock storeClock) {
        this.directory = directory;
        this.drains = drains;
        this.storeClock = storeClock;
    }

    /**
     * Returns, for each cold endpoint by id, when it stops being cold, on the monotonic clock in milliseconds. Warm
     * endpoints are absent.
     *
     * @param configuration the configuration in force
     * @param nowMillis the current time on the monotonic clock, in milliseconds
     */
    Map<String, Long> coldUntilMillisById(RoutingConfiguration configuration, long nowMillis) {
        Map<String, Long> untilMillisById = new HashMap<>();
        Map<DataCentre, Long> returnedAtMillis = drains.returnedAtMillis();
        for (ServiceEndpoint endpoint : directory.directory().all()) {
            Optional<ColdStart> coldStart =
                    configuration.service(endpoint.service()).flatMap(ServiceSpec::coldStart);
            if (coldStart.isPresent()) {
                long afterDrainMillis =
                        coldUntilAfterDrain(returnedAtMillis.get(endpoint.dataCentre()), coldStart.get());
                long coldUntilMillis = Math.max(coldUntilByEntry(endpoint, nowMillis), afterDrainMillis);
                if (coldUntilMillis > nowMillis) {
                    untilMillisById.put(endpoint.id(), coldUntilMillis);
                }
            }
        }
        return untilMillisById;
    }

    private long coldUntilByEntry(ServiceEndpoint endpoint, long nowMillis) {
        long storeMillis = endpoint.coldUntilStoreMillis();
        if (storeMillis == ServiceEndpoint.NEVER_COLD) {
            return StoreClock.UNKNOWN_MILLIS;
        }
        long latestMillis = storeClock.latestLocalMillis(storeMillis, nowMillis);
        // While the store's time is unknown, the time that was left when the list was read counts from now.
        return latestMillis == StoreClock.UNKNOWN_MILLIS
                ? nowMillis + storeMillis - directory.listVersion().storeMillis()
                : latestMillis;
    }

    private long coldUntilAfterDrain(@Nullable Long returnedAtMillis, ColdStart coldStart) {
        if (returnedAtMillis == null || directory.readAtMillis() >= returnedAtMillis + ENTRY_UPDATE_DELAY_MILLIS) {
            return StoreClock.UNKNOWN_MILLIS;
        }
        return returnedAtMillis + ENTRY_UPDATE_DELAY_MILLIS + coldStart.millis();
    }
}
