package org.radishpass.routing.admission;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counts decisions on admission, and what became of callers that returned after a refusal.
 *
 * @since 0.8.0
 */
public final class AdmissionStatistics {
    private final Map<RefusalReason, Long> refusals = new EnumMap<>(RefusalReason.class);
    private long returnsServed;
    private long returnsFailed;

    /** Returns the number of refusals for a reason. */
    public long refusals(RefusalReason reason) {
        return refusals.getOrDefault(reason, 0L);
    }

    /** Returns the number of callers that returned after a refusal and were served. */
    public long returnsServed() {
        return returnsServed;
    }

    /** Returns the number of callers that returned after a refusal and were refused again, or not served. */
    public long returnsFailed() {
        return returnsFailed;
    }

    /** Records the end of a request whose caller had returned after a refusal. */
    public void returnEnded(boolean served) {
        if (served) {
            returnsServed++;
        } else {
            returnsFailed++;
        }
    }

    void refused(RefusalReason reason, boolean returned) {
        refusals.merge(reason, 1L, Long::sum);
        if (returned) {
            returnsFailed++;
        }
    }
}
