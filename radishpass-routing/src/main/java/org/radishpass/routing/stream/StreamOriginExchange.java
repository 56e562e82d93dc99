package org.radishpass.routing.stream;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * What other routers tell and ask this one about the origins of streams. Methods may be called from any thread.
 *
 * @since 0.10.0
 */
public interface StreamOriginExchange {
    /** Sets how other routers are told and asked. */
    void peers(StreamOriginPeers peers);

    /**
     * Sets the recorded versions.
     *
     * @since 0.13.0
     */
    void versions(StreamVersions versions);

    /**
     * Lets streams that callers take up wait for {@link #settled}, because this router has just started.
     *
     * @since 0.13.0
     */
    void settling();

    /**
     * Ends the wait: this router has read what is stored, or it takes too long.
     *
     * @since 0.13.0
     */
    void settled();

    /** Takes over what another router has told, or what is stored. */
    void told(List<KnownOrigin> origins);

    /**
     * Looks up whether this router keeps the origin of a stream.
     *
     * @param stream the hash of the stream
     * @param service the service to which a request without a stream would go
     * @param lifetimeMillis the longest time for which a stream can be taken up, in milliseconds
     * @param answer receives the origin; empty if this router does not know it
     */
    void lookUp(long stream, String service, long lifetimeMillis, Consumer<Optional<StreamOrigin>> answer);
}
