package org.radishpass.routing.quarantine;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.routing.fleet.SoftwareVersion;

/**
 * Remembers parts of prompts that endpoints of a software version have begun to answer, the most recently used ones of
 * each workspace. Confined to the traffic thread.
 */
final class HarmlessParts {
    /** The maximum number of remembered parts of one workspace, which displace each other beyond it. */
    static final int MAX_PARTS_OF_WORKSPACE = 1_024;

    /** The maximum number of remembered parts: 90 bytes each, 1.5 MB in all. */
    static final int MAX_PARTS = 16_384;

    private static final float LOAD_FACTOR = 0.75f;
    private static final int INITIAL_CAPACITY = 16;

    private final Map<Long, Map<Long, Boolean>> byWorkspace = new HashMap<>();
    private int size;

    /** Records that an endpoint of a software version has begun to answer a prompt with a part. */
    void add(PromptPartFingerprint part, SoftwareVersion version) {
        Map<Long, Boolean> parts = byWorkspace.computeIfAbsent(
                part.workspace(), workspace -> new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true));
        if (parts.put(key(part, version), Boolean.TRUE) == null) {
            size++;
            if (parts.size() > MAX_PARTS_OF_WORKSPACE) {
                removeEldest(parts);
            } else if (size > MAX_PARTS) {
                byWorkspace.values().stream()
                        .max(Comparator.comparingInt(Map::size))
                        .ifPresent(this::removeEldest);
            }
        }
    }

    /** Tells whether an endpoint of a software version is known to have begun to answer a prompt with a part. */
    boolean contains(PromptPartFingerprint part, SoftwareVersion version) {
        Map<Long, Boolean> parts = byWorkspace.get(part.workspace());
        return parts != null && parts.containsKey(key(part, version));
    }

    int size() {
        return size;
    }

    private void removeEldest(Map<Long, Boolean> parts) {
        Iterator<Long> eldestFirst = parts.keySet().iterator();
        eldestFirst.next();
        eldestFirst.remove();
        size--;
    }

    private static long key(PromptPartFingerprint part, SoftwareVersion version) {
        return Rendezvous.mix(part.part(), Rendezvous.hash(version.name()));
    }
}
