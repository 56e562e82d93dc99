package org.radishpass.routing.control;

import java.time.Duration;
import java.util.List;
import java.util.function.LongConsumer;
import org.radishpass.core.fleet.Address;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.fleet.StorePosition;
import org.radishpass.routing.quarantine.CrashCause;
import org.radishpass.routing.quarantine.Suspect;
import org.radishpass.routing.stream.StreamVersionRecord;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * The store that holds a deployment's configuration, endpoints and registered routers. Reads never signal an error: a
 * failure is reported by the type of the result.
 *
 * @since 0.2.0
 */
public interface ControlSource {
    /** Stands for an unknown time on the store's clock. */
    long TIME_UNKNOWN = -1;

    /**
     * Emits each new era of the store that is higher than all previous ones. Any response reveals the era, including a
     * refusal.
     *
     * @since 0.7.0
     */
    default Flux<Long> eras() {
        return Flux.never();
    }

    /**
     * Reads the whole configuration.
     *
     * @param onResponseStart called on any thread when a response starts to arrive, with its size in bytes; -1 if the
     *     size is unknown
     */
    Mono<ConfigurationReadResult> configuration(LongConsumer onResponseStart);

    /**
     * Waits for a configuration newer than a position in the store's history. If the store has been restored since, the
     * result is {@link ConfigurationReadResult.HistoryLost}. The response may contain every version since the position and
     * be correspondingly larger.
     *
     * @param after the position
     * @param wait how long the store may hold the request before it responds that nothing has changed
     * @param onResponseStart called on any thread when a response starts to arrive, with its size in bytes; -1 if the
     *     size is unknown
     */
    Mono<ConfigurationReadResult> configurationAfter(StorePosition after, Duration wait, LongConsumer onResponseStart);

    /** Reads all registered endpoints. */
    Mono<DirectoryReadResult> directory();

    /**
     * Registers this router, then reads all registered routers.
     *
     * @param self this router
     */
    Mono<RegistryReadResult> register(FleetRouter self);

    /**
     * Reads all registered routers.
     *
     * @since 0.3.0
     */
    Mono<RegistryReadResult> registered();

    /**
     * Removes a router's registration, unless another process has registered at the same address since.
     *
     * @param self the address at which the router accepted peers
     * @param registeredAt the position in the store's history at which the registration was written
     * @return whether the registration was removed
     */
    Mono<Boolean> deregister(Address self, StorePosition registeredAt);

    /**
     * Reads the quarantined features of requests; requests that have one are not sent to endpoints because they crash them.
     *
     * @since 0.5.0
     */
    Mono<QuarantineReadResult> quarantined();

    /**
     * Writes a quarantined feature of requests, or updates what is known of it.
     *
     * @param suspect the feature, with the endpoint crashes attributed to it
     * @param storeMillis the current time on the store's clock, in milliseconds; {@link #TIME_UNKNOWN} if unknown
     * @return whether the feature was written
     * @since 0.5.0
     */
    Mono<Boolean> quarantine(Suspect suspect, long storeMillis);

    /**
     * Removes a feature of requests from quarantine, because it has proved harmless or is no longer tracked.
     *
     * @param cause the feature
     * @return whether the feature was removed
     * @since 0.5.0
     */
    Mono<Boolean> release(CrashCause cause);

    /**
     * Reads the record of the software versions at which streams may have begun.
     *
     * @since 0.13.0
     */
    Mono<StreamVersionReadResult> streamVersions();

    /**
     * Replaces the record of the software versions at which streams may have begun, unless another router has replaced it
     * since, and reads the record that is in the store then.
     *
     * @param record the new record
     * @param replaced the position at which the record was written that is replaced; {@link StorePosition#NONE} if there is
     *     no record
     * @return the record in the store, which may be another one
     * @since 0.13.0
     */
    Mono<StreamVersionReadResult> saveStreamVersions(StreamVersionRecord record, StorePosition replaced);

    /**
     * Reads the stored origins of streams.
     *
     * @since 0.13.0
     */
    Mono<StreamOriginReadResult> streamOrigins();

    /**
     * Stores origins of streams, and removes batches.
     *
     * @param added the batches to store; names that exist are replaced
     * @param removed the names of batches to remove
     * @return whether the store has done so
     * @since 0.13.0
     */
    Mono<Boolean> saveStreamOrigins(List<StoredOrigins> added, List<String> removed);
}
