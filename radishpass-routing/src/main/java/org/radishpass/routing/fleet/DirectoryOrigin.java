package org.radishpass.routing.fleet;

/**
 * The origin of a list of endpoints, recorded so that the placement of a request can be explained afterwards.
 *
 * @param position the position in the store's history at which the list was read
 * @param readAtMillis the earliest time at which the list can have been read, on this router's monotonic clock in
 *     milliseconds
 * @param source the reader of the list: {@link #STORE} for this router itself, or the id of a peer
 * @param settled whether endpoints missing from the list have been removed; if not, they are kept for a while
 * @since 0.4.0
 */
public record DirectoryOrigin(StorePosition position, long readAtMillis, String source, boolean settled) {
    /** The source of a list that this router read from the store itself. */
    public static final String STORE = "store";

    /** The origin before any list has been read. */
    public static final DirectoryOrigin UNKNOWN =
            new DirectoryOrigin(StorePosition.NONE, Long.MIN_VALUE / 2, "none", false);
}
