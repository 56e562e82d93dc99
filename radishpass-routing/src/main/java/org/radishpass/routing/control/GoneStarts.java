package org.radishpass.routing.control;

import java.util.Map;
import java.util.Set;

/**
 * The starts of endpoints that are gone. A snapshot from which the store was restored may list them again; they are held back until registrations that
 * are not renewed have lapsed. Belongs to the control thread.
 */
final class GoneStarts {
    /** Milliseconds after a restore until such a registration has lapsed: three periods of renewal of about 1.2 s, and as much as one more. */
    static final long LAPSED_MILLIS = 5_000;

    private final Map<String, Boolean> gone = new RecentNames<>();
    private Set<String> heldBack = Set.of();
    private long heldBackUntilMillis = StoreClock.NEVER;

    /** Notes a start that is not listed any more. */
    void gone(String id) {
        gone.put(id, true);
    }

    /** Notes a start that is listed. */
    void listed(String id) {
        gone.remove(id);
    }

    /**
     * Notes that the store was restored from a snapshot.
     *
     * @param storeMillis when that was known first, on the store's clock in milliseconds
     */
    void storeRestored(long storeMillis) {
        heldBack = Set.copyOf(gone.keySet());
        heldBackUntilMillis = storeMillis + LAPSED_MILLIS;
    }

    /**
     * Tells whether a start that is listed is to be left out.
     *
     * @param id the start
     * @param storeMillis when the list was read, on the store's clock in milliseconds
     */
    boolean holdsBack(String id, long storeMillis) {
        return mayListWhatEnded(storeMillis) && heldBack.contains(id);
    }

    /**
     * Tells whether a list may hold entries of a snapshot that are not renewed.
     *
     * @param storeMillis when the list was read, on the store's clock in milliseconds
     */
    boolean mayListWhatEnded(long storeMillis) {
        return storeMillis < heldBackUntilMillis;
    }
}
