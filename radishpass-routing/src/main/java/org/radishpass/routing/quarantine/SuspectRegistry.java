package org.radishpass.routing.quarantine;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the crash histories of all suspected features of requests, within limits. Confined to the traffic thread.
 */
final class SuspectRegistry {
    /**
     * The maximum number of suspects: 0.9 KB each with six crashes, 1.8 MB in all. Creating many takes many crashes.
     */
    static final int MAX_SUSPECTS = 2_048;

    /**
     * The maximum number of suspects of one workspace. Above it, its suspects evict each other and no other
     * workspace's.
     */
    static final int MAX_SUSPECTS_OF_WORKSPACE = 256;

    private final Map<CrashCause, CrashHistory> histories = new LinkedHashMap<>();

    /** Returns the history of a feature; null if the feature is not suspected. */
    @Nullable
    CrashHistory find(CrashCause cause) {
        return histories.get(cause);
    }

    /** Returns the history of a feature, which is created if the feature is not suspected yet. */
    CrashHistory findOrCreate(CrashCause cause) {
        CrashHistory known = histories.get(cause);
        if (known == null) {
            evictIfFull(cause);
            known = new CrashHistory(cause);
            histories.put(cause, known);
        }
        return known;
    }

    /** Records the parts of the prompt of a request, if the request is suspected. */
    void recordPrompt(RequestFingerprint request, List<PromptPartFingerprint> parts) {
        CrashHistory history = histories.get(request);
        if (history != null) {
            history.promptParts(parts);
        }
    }

    /** Removes the history of a feature and returns it; null if the feature was not suspected. */
    @Nullable
    CrashHistory remove(CrashCause cause) {
        return histories.remove(cause);
    }

    void removeIf(Predicate<CrashHistory> condition) {
        histories.values().removeIf(condition);
    }

    Collection<CrashHistory> all() {
        return histories.values();
    }

    int size() {
        return histories.size();
    }

    /**
     * Evicts the suspect with the fewest and oldest crashes if a limit is reached: from the workspace of the new
     * suspect if that workspace is at its limit, and otherwise from the workspace with the most suspects.
     */
    private void evictIfFull(CrashCause cause) {
        Map<Long, Integer> counts = new HashMap<>();
        histories.keySet().forEach(other -> counts.merge(other.workspace(), 1, Integer::sum));
        if (counts.getOrDefault(cause.workspace(), 0) >= MAX_SUSPECTS_OF_WORKSPACE) {
            evictFrom(cause.workspace());
        } else if (histories.size() >= MAX_SUSPECTS) {
            counts.entrySet().stream().max(Map.Entry.comparingByValue()).ifPresent(most -> evictFrom(most.getKey()));
        }
    }

    private void evictFrom(long workspace) {
        CrashHistory least = null;
        for (CrashHistory history : histories.values()) {
            if (history.cause().workspace() == workspace && (least == null || evictedBefore(history, least))) {
                least = history;
            }
        }
        if (least != null) {
            histories.remove(least.cause());
        }
    }

    private static boolean evictedBefore(CrashHistory one, CrashHistory other) {
        return one.consecutiveCrashes() == other.consecutiveCrashes()
                ? one.lastCrashMillis() < other.lastCrashMillis()
                : one.consecutiveCrashes() < other.consecutiveCrashes();
    }
}
