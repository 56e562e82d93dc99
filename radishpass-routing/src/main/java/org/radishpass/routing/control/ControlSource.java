package org.radishpass.routing.control;

import java.time.Duration;
import java.util.function.LongConsumer;
import org.radishpass.core.fleet.Address;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.fleet.StorePosition;
import org.radishpass.routing.quarantine.RequestFingerprint;
import org.radishpass.routing.quarantine.Suspect;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * The store that a deployment keeps its configuration, endpoints and routers in. No reading ends in an error: what went
 * wrong is in its type.
 *
 * @since 0.2.0
 */
public interface ControlSource {
    /** A moment of the store's clock that is not known. */
    long TIME_UNKNOWN = -1;

    /**
     * Returns each era of the store that is later than all before, as any of its answers tells it, a refusal too.
     *
     * @since 0.7.0
     */
    default Flux<Long> eras() {
        return Flux.never();
    }

    /**
     * Reads the configuration.
     *
     * @param begun called, on any thread, when an answer begins to come, with its size in bytes; -1 if that is not told
     */
    Mono<ConfigurationReading> configuration(LongConsumer begun);

    /**
     * Waits for a configuration that is newer than a place in the store's history. If the store has been restored since, {@link
     * ConfigurationReading.HistoryLost} is the answer. The answer may hold each version since then, and be that much larger.
     *
     * @param after the place
     * @param wait how long the store may wait before it answers that nothing has changed
     * @param begun called, on any thread, when an answer begins to come, with its size in bytes; -1 if that is not told
     */
    Mono<ConfigurationReading> configurationAfter(StorePosition after, Duration wait, LongConsumer begun);

    /** Reads all endpoints. */
    Mono<DirectoryReading> directory();

    /**
     * Registers this router, and reads all routers that are registered after that.
     *
     * @param self this router
     */
    Mono<RegistryReading> register(FleetRouter self);

    /**
     * Reads all routers that are registered.
     *
     * @since 0.3.0
     */
    Mono<RegistryReading> registered();

    /**
     * Removes a router's registration, unless another process has registered at its address since.
     *
     * @param self where it listened for peers
     * @param registeredAt where in the store's history the registration was written
     * @return whether it was removed
     */
    Mono<Boolean> deregister(Address self, StorePosition registeredAt);

    /**
     * Reads the requests that are kept from endpoints because they end them.
     *
     * @since 0.5.0
     */
    Mono<QuarantineReading> quarantined();

    /**
     * Keeps a request, or what is known of it now.
     *
     * @param suspect the request, with its ends
     * @param storeMillis the time on the store's clock, in milliseconds; {@link #TIME_UNKNOWN} if that is not known
     * @return whether that is done
     * @since 0.5.0
     */
    Mono<Boolean> quarantine(Suspect suspect, long storeMillis);

    /**
     * Removes a request that has proved harmless, or is forgotten.
     *
     * @param request the request
     * @return whether that is done
     * @since 0.5.0
     */
    Mono<Boolean> release(RequestFingerprint request);
}
