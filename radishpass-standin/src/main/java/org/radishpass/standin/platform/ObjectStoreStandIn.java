package org.radishpass.standin.platform;

import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stand-in for the platform's object store. Keeps all objects in memory.
 *
 * @since 0.1.0
 */
public final class ObjectStoreStandIn {
    private final ConcurrentHashMap<String, byte[]> objects = new ConcurrentHashMap<>();

    /**
     * Stores an object, replacing an earlier object with the same key.
     *
     * @param key the object's key
     * @param content the object's content
     */
    public void put(String key, byte[] content) {
        objects.put(key, content.clone());
    }

    /**
     * Returns a copy of an object's content; empty if the key is unknown.
     *
     * @param key the object's key
     */
    public Optional<byte[]> get(String key) {
        return Optional.ofNullable(objects.get(key)).map(byte[]::clone);
    }

    /**
     * Deletes an object, if the key exists.
     *
     * @param key the object's key
     */
    public void delete(String key) {
        objects.remove(key);
    }
}
