package org.radishpass.routing.stream;

import java.util.List;
import java.util.function.Consumer;

/**
 * The other routers, as far as they keep the origins of streams. Methods may be called from any thread.
 *
 * @since 0.10.0
 */
public interface StreamOriginPeers {
    /** No other router. */
    StreamOriginPeers NONE = new StreamOriginPeers() {
        @Override
        public void tell(List<KnownOrigin> origins) {
            // there is nobody to tell
        }

        @Override
        public void ask(long stream, String service, long lifetimeMillis, Consumer<OriginAnswer> answer) {
            answer.accept(OriginAnswer.NONE);
        }

        @Override
        public void confirmVersions(Consumer<Boolean> done) {
            done.accept(false);
        }
    };

    /** Tells the routers that are responsible for streams what began them, and has it stored. */
    void tell(List<KnownOrigin> origins);

    /**
     * Asks the routers that are responsible for a stream.
     *
     * @param stream the hash of the stream
     * @param service the service to which a request without a stream would go
     * @param lifetimeMillis the longest time for which a stream can be taken up, in milliseconds
     * @param answer receives the answer once, on any thread
     */
    void ask(long stream, String service, long lifetimeMillis, Consumer<OriginAnswer> answer);

    /**
     * Reads the recorded versions from the store again.
     *
     * @param done receives, on any thread, whether they were read; if so, {@link StreamOriginExchange#versions} has been
     *     called before with what they are by now
     * @since 0.13.0
     */
    void confirmVersions(Consumer<Boolean> done);
}
