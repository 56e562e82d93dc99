package org.radishpass.standin.platform;

import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An object store in memory.
 *
 * @since 0.1.0
 */
public final class ObjectStoreStandIn {
    private final ConcurrentHashMap<String, byte[]> objects = new ConcurrentHashMap<>();

    /**
     * Writes an object.
     *
     * @param key its key
     * @param content its content
     */
    public void put(String key, byte[] content) {
        objects.put(key, content.clone());
    }

    /**
     * Reads an object.
     *
     * @param key its key
     */
    public Optional<byte[]> get(String key) {
        return Optional.ofNullable(objects.get(key)).map(byte[]::clone);
    }

    /**
     * Deletes an object.
     *
     * @param key its key
     */
    public void delete(String key) {
        objects.remove(key);
    }
}
