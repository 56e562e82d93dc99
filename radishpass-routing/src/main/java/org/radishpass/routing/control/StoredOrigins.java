package org.radishpass.routing.control;

import java.util.List;
import org.radishpass.routing.stream.KnownOrigin;

/**
 * A batch of origins of streams that one router has stored. The times of the origins are on the store's clock.
 *
 * @param name the unique name of the batch
 * @param origins the origins; empty if the batch cannot be decoded
 * @param expiresAtMillis when no stream of the batch can be taken up any more, on the store's clock in milliseconds
 * @since 0.13.0
 */
public record StoredOrigins(String name, List<KnownOrigin> origins, long expiresAtMillis) {
    /** The maximum number of origins in one batch, which bounds its size to some 12 KB. */
    public static final int MAX_ORIGINS = 250;

    /** Creates a batch with a copy of the origins. */
    public StoredOrigins {
        origins = List.copyOf(origins);
    }
}
