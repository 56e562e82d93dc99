package org.radishpass.routing.stream;

import java.util.Optional;

/**
 * What the routers that are responsible for a stream answer.
 *
 * @param origin what began the stream; empty if none of them knows it
 * @param answers the number of routers that answered
 * @since 0.13.0
 */
public record OriginAnswer(Optional<StreamOrigin> origin, int answers) {
    /** No router has answered. */
    public static final OriginAnswer NONE = new OriginAnswer(Optional.empty(), 0);
}
