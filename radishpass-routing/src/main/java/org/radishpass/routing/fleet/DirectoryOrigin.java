package org.radishpass.routing.fleet;

/**
 * Where a list of endpoints comes from, so that a placement can be explained afterwards.
 *
 * @param position the place in the store's history of the list
 * @param readAtMillis when the store was read for it at the earliest, on this router's monotonic clock in milliseconds
 * @param source who read it for this router: {@link #STORE}, or the id of a peer
 * @param settled whether endpoints that the reading lacked are left out; if not, they are kept for a while
 * @since 0.4.0
 */
public record DirectoryOrigin(StorePosition position, long readAtMillis, String source, boolean settled) {
    /** Says that this router read the store itself. */
    public static final String STORE = "store";

    /** Before anything is known. */
    public static final DirectoryOrigin UNKNOWN =
            new DirectoryOrigin(StorePosition.NONE, Long.MIN_VALUE / 2, "none", false);
}
