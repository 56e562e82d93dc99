package org.radishpass.runtime.http;

import java.time.Duration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;

/**
 * Waits for the end of a server, of a connection pool or of event loops, for a limited time. A busy machine may let them
 * end later; the caller's own shutdown goes on then, since nothing that it does depends on their end.
 *
 * @since 0.8.0
 */
public final class Shutdown {
    private static final Logger LOG = LoggerFactory.getLogger(Shutdown.class);

    private Shutdown() {
        // static methods only
    }

    /**
     * Stops a server from accepting connections and waits until its socket is closed. Never throws.
     *
     * @param server the server
     * @param name the name of the server for the log
     * @param limit the maximum time to wait
     */
    public static void stop(DisposableServer server, String name, Duration limit) {
        server.dispose();
        await(server.onDispose(), name, limit);
    }

    /**
     * Waits until something that is being closed has ended. Never throws.
     *
     * @param closed completes at the end
     * @param name the name of what is closed, for the log
     * @param limit the maximum time to wait
     */
    public static void await(Mono<Void> closed, String name, Duration limit) {
        try {
            closed.timeout(limit).block();
        } catch (RuntimeException e) {
            LOG.warn(
                    "{} did not close within {} ms; the shutdown goes on without it: {}",
                    name,
                    limit.toMillis(),
                    e.toString());
        }
    }
}
