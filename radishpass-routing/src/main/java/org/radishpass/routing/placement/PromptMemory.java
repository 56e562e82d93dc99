package org.radishpass.routing.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * Where this router sent prompts lately, by the hash of their shared parts: a hint at what engines hold in their caches.
 * Bounded; it belongs to the traffic thread.
 *
 * @since 0.2.0
 */
public final class PromptMemory {
    /** Entries kept: several times the subjects that a deployment asks for in a minute; about 1 MB. */
    private static final int MOST_ENTRIES = 8_192;

    /** Milliseconds for which a hint is worth following; engines drop what was used least recently. */
    private static final long HINT_MILLIS = 30_000;

    private final Map<Long, String> lastEndpoint = bounded();
    private final Map<Long, Long> sentAtMillis = bounded();

    /**
     * Notes that a prompt was sent.
     *
     * @param key the hash of its shared parts
     * @param endpoint where it was sent
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public void sent(long key, ServiceEndpoint endpoint, long nowMillis) {
        lastEndpoint.put(key, endpoint.id());
        sentAtMillis.put(Rendezvous.mix(key, endpoint.hash()), nowMillis);
    }

    /**
     * Tells whether a prompt with these parts was sent to an endpoint lately.
     *
     * @param key the hash of its shared parts
     * @param endpoint the endpoint
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public boolean holds(long key, ServiceEndpoint endpoint, long nowMillis) {
        Long at = sentAtMillis.get(Rendezvous.mix(key, endpoint.hash()));
        return at != null && nowMillis - at < HINT_MILLIS;
    }

    /**
     * Returns the endpoint that a prompt with these parts was sent to last.
     *
     * @param key the hash of its shared parts
     */
    public Optional<String> lastEndpoint(long key) {
        return Optional.ofNullable(lastEndpoint.get(key));
    }

    private static <V> Map<Long, V> bounded() {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.@Nullable Entry<Long, V> eldest) {
                return size() > MOST_ENTRIES;
            }
        };
    }
}
