package org.radishpass.routing.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * Remembers to which endpoints this router recently sent prompts, by the hash of their shared parts. The entries are
 * hints at the contents of the engines' caches. Bounded in size, and confined to the traffic thread.
 *
 * @since 0.2.0
 */
public final class PromptPlacementHistory {
    /**
     * The maximum number of entries: several times the different shared parts per minute of a deployment; about 1 MB.
     */
    private static final int MAX_ENTRIES = 8_192;

    /** The time for which an entry is used, in milliseconds; engines evict the least recently used prompts. */
    private static final long ENTRY_VALID_MILLIS = 30_000;

    private final Map<Long, String> lastEndpoint = boundedMap();
    private final Map<Long, Long> sentAtMillis = boundedMap();

    /**
     * Records that a prompt was sent to an endpoint.
     *
     * @param key the hash of the prompt's shared parts
     * @param endpoint the endpoint
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void sent(long key, ServiceEndpoint endpoint, long nowMillis) {
        lastEndpoint.put(key, endpoint.id());
        sentAtMillis.put(Rendezvous.mix(key, endpoint.hash()), nowMillis);
    }

    /**
     * Tells whether a prompt with the same shared parts was recently sent to an endpoint.
     *
     * @param key the hash of the prompt's shared parts
     * @param endpoint the endpoint
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public boolean sentRecently(long key, ServiceEndpoint endpoint, long nowMillis) {
        Long lastSentAt = sentAtMillis.get(Rendezvous.mix(key, endpoint.hash()));
        return lastSentAt != null && nowMillis - lastSentAt < ENTRY_VALID_MILLIS;
    }

    /**
     * Returns the id of the endpoint to which a prompt with the same shared parts was last sent.
     *
     * @param key the hash of the prompt's shared parts
     */
    public Optional<String> lastEndpoint(long key) {
        return Optional.ofNullable(lastEndpoint.get(key));
    }

    /**
     * Returns the id of the endpoint to which a prompt with the same shared parts was last sent, or null if it was not
     * sent recently. Engines have probably evicted older prompts.
     *
     * @param key the hash of the prompt's shared parts
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @since 0.8.0
     */
    public @Nullable String recentEndpoint(long key, long nowMillis) {
        String id = lastEndpoint.get(key);
        if (id == null) {
            return null;
        }
        Long lastSentAt = sentAtMillis.get(Rendezvous.mix(key, Rendezvous.hash(id)));
        return lastSentAt != null && nowMillis - lastSentAt < ENTRY_VALID_MILLIS ? id : null;
    }

    private static <V> Map<Long, V> boundedMap() {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.@Nullable Entry<Long, V> eldest) {
                return size() > MAX_ENTRIES;
            }
        };
    }
}
