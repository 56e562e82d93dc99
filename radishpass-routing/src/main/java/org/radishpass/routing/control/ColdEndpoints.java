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
 * Finds out which endpoints bear little because they have just started, or may have become so: those whose entry says it, and those of a
 * data centre that was given back after it had been emptied, until their entries have had the time to say it.
 */
final class ColdEndpoints {
    /**
     * Milliseconds after which a reading of the list shows what an endpoint has become: it renews its entry every 1.2 s, and the entry
     * takes a moment to be there.
     */
    static final long ENTRY_LAG_MILLIS = 1_500;

    private final DirectoryTracker directory;
    private final DrainTracker drains;
    private final StoreClock storeClock;

    ColdEndpoints(DirectoryTracker directory, DrainTracker drains, StoreClock storeClock) {
        this.directory = directory;
        this.drains = drains;
        this.storeClock = storeClock;
    }

    /**
     * Returns until when endpoints are taken to be cold, by id, on the monotonic clock in milliseconds; those that are warm are left out.
     *
     * @param configuration the configuration in force
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    Map<String, Long> untilMillis(RoutingConfiguration configuration, long nowMillis) {
        Map<String, Long> until = new HashMap<>();
        Map<DataCentre, Long> returnedAtMillis = drains.returnedAtMillis();
        for (ServiceEndpoint endpoint : directory.directory().all()) {
            Optional<ColdStart> coldStart =
                    configuration.service(endpoint.service()).flatMap(ServiceSpec::coldStart);
            if (coldStart.isPresent()) {
                long byReturn = byReturn(returnedAtMillis.get(endpoint.dataCentre()), coldStart.get());
                long millis = Math.max(byEntry(endpoint, nowMillis), byReturn);
                if (millis > nowMillis) {
                    until.put(endpoint.id(), millis);
                }
            }
        }
        return until;
    }

    private long byEntry(ServiceEndpoint endpoint, long nowMillis) {
        long storeMillis = endpoint.coldUntilStoreMillis();
        if (storeMillis == ServiceEndpoint.NEVER_COLD) {
            return StoreClock.NEVER;
        }
        long latest = storeClock.latest(storeMillis, nowMillis);
        // who has never reached the store counts from now on what was left when the list was read
        return latest == StoreClock.NEVER
                ? nowMillis + storeMillis - directory.reading().storeMillis()
                : latest;
    }

    private long byReturn(@Nullable Long returnedAtMillis, ColdStart coldStart) {
        if (returnedAtMillis == null || directory.readAtMillis() >= returnedAtMillis + ENTRY_LAG_MILLIS) {
            return StoreClock.NEVER;
        }
        return returnedAtMillis + ENTRY_LAG_MILLIS + coldStart.millis();
    }
}
