package org.radishpass.routing.control;

import java.util.Map;
import java.util.Set;

/**
 * Remembers the endpoint incarnations that are gone. A snapshot from which the store was restored may list them again.
 * They are then suppressed until registrations that nobody renews have expired. Confined to the control thread.
 */
final class GoneIncarnations {
    /**
     * Milliseconds after a restore until a registration that is not renewed has expired. The time covers three renewal
     * periods of about 1.2 s, and a fourth one as a margin.
     */
    static final long REGISTRATION_EXPIRY_MILLIS = 5_000;

    private final Map<String, Boolean> goneIds = new BoundedMap<>();
    private Set<String> suppressedIds = Set.of();
    private long suppressedUntilMillis = StoreClock.UNKNOWN_MILLIS;

    /** Records that an incarnation is no longer listed. */
    void noteGone(String id) {
        goneIds.put(id, true);
    }

    /** Records that an incarnation is listed. */
    void noteListed(String id) {
        goneIds.remove(id);
    }

    /**
     * Starts to suppress all incarnations that are gone, because the store was restored from a snapshot.
     *
     * @param storeMillis when the restore was first noticed, on the store's clock in milliseconds
     */
    void storeRestored(long storeMillis) {
        suppressedIds = Set.copyOf(goneIds.keySet());
        suppressedUntilMillis = storeMillis + REGISTRATION_EXPIRY_MILLIS;
    }

    /**
     * Tells whether a listed incarnation must be left out of the list.
     *
     * @param id the incarnation's id
     * @param storeMillis when the list was read, on the store's clock in milliseconds
     */
    boolean suppresses(String id, long storeMillis) {
        return mayListStaleEntries(storeMillis) && suppressedIds.contains(id);
    }

    /**
     * Tells whether a list may contain entries from a snapshot that nobody renews.
     *
     * @param storeMillis when the list was read, on the store's clock in milliseconds
     */
    boolean mayListStaleEntries(long storeMillis) {
        return storeMillis < suppressedUntilMillis;
    }
}
