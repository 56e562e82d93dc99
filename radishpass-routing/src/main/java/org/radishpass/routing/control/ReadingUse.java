package org.radishpass.routing.control;

import org.radishpass.routing.fleet.StorePosition;

/** What becomes of a reading of the endpoints. */
enum ReadingUse {
    /** It replaces the list. */
    USED("used"),
    /** The store has been restored since; its revisions have another meaning by now. */
    EARLIER_ERA("earlier-era"),
    /** The store has answered at a higher revision of the same era before. */
    EARLIER_REVISION("earlier-revision");

    private final String label;

    ReadingUse(String label) {
        this.label = label;
    }

    /**
     * Decides.
     *
     * @param read where in the store's history it was read
     * @param known where the list was read
     */
    static ReadingUse of(StorePosition read, StorePosition known) {
        if (known.inLaterEraThan(read)) {
            return EARLIER_ERA;
        }
        return known.after(read) ? EARLIER_REVISION : USED;
    }

    /** Returns the name by which metrics and logs tell it. */
    String label() {
        return label;
    }
}
