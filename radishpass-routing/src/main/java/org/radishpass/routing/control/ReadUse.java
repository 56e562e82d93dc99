package org.radishpass.routing.control;

import org.radishpass.routing.fleet.StorePosition;

/** Whether a read of the endpoints is used, or why it is ignored. */
enum ReadUse {
    /** The read replaces the list. */
    USED("used"),
    /** The read is from before a restore of the store, after which revisions have another meaning. */
    EARLIER_ERA("earlier-era"),
    /** The store has already responded at a higher revision of the same era. */
    EARLIER_REVISION("earlier-revision");

    private final String label;

    ReadUse(String label) {
        this.label = label;
    }

    /**
     * Returns the use of a read.
     *
     * @param read the position in the store's history of the read
     * @param known the position of the current list
     */
    static ReadUse of(StorePosition read, StorePosition known) {
        if (known.inLaterEraThan(read)) {
            return EARLIER_ERA;
        }
        return known.after(read) ? EARLIER_REVISION : USED;
    }

    /** Returns the label of this value in metrics and logs. */
    String label() {
        return label;
    }
}
