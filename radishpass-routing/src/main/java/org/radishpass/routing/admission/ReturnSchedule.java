package org.radishpass.routing.admission;

/**
 * The times at which refused callers were told to return. Callers are spread over the future so that not more return
 * than can be started. More urgent callers receive the earliest times, regardless of the times that less urgent ones
 * have received.
 */
final class ReturnSchedule {
    /** The length of a time slot in milliseconds; short compared with latency targets. */
    static final int SLOT_MILLIS = 50;

    /** The number of slots: 6.4 s, more than a third of the longest timeouts. */
    private static final int SLOTS = 128;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Per slot and urgency, the number of returns of at least this urgency. */
    private final int[][] booked = new int[SLOTS][AdmissionRequest.URGENCIES];

    private long firstSlot;

    /**
     * Chooses the time at which a caller should return.
     *
     * @param urgency the urgency of the request
     * @param earliestMillis the earliest time, on the monotonic clock in milliseconds
     * @param latestMillis the latest time, on the monotonic clock in milliseconds
     * @param returnsPerSecond the number of returning callers per second that can be started
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @return the time on the monotonic clock, in milliseconds
     */
    long reserve(int urgency, long earliestMillis, long latestMillis, double returnsPerSecond, long nowMillis) {
        expire(nowMillis);
        long latest = Math.max(nowMillis, latestMillis);
        long last = Math.min(Math.floorDiv(latest, SLOT_MILLIS), firstSlot + SLOTS - 1);
        long first = Math.min(Math.max(firstSlot, Math.floorDiv(earliestMillis, SLOT_MILLIS)), last);
        double capacity = returnsPerSecond * SLOT_MILLIS / MILLIS_PER_SECOND;
        long chosen = chooseSlot(first, last, urgency, capacity);
        int[] slot = booked[Math.floorMod(chosen, SLOTS)];
        double within = Math.min(1, slot[urgency] / Math.max(1, capacity));
        for (int lower = urgency; lower < AdmissionRequest.URGENCIES; lower++) {
            slot[lower]++;
        }
        long time = chosen * SLOT_MILLIS + Math.round(within * (SLOT_MILLIS - 1));
        return Math.min(latest, Math.max(time, Math.max(nowMillis, Math.min(earliestMillis, latest))));
    }

    /** Returns the first slot with capacity left, or the slot with the fewest returns if all are full. */
    private long chooseSlot(long first, long last, int urgency, double capacity) {
        long fewest = first;
        double allowed = 0;
        int total = 0;
        for (long slot = first; slot <= last; slot++) {
            int count = booked[Math.floorMod(slot, SLOTS)][urgency];
            allowed += capacity;
            total += count;
            if (total < Math.max(1, allowed) && count < Math.max(1, capacity)) {
                return slot;
            }
            if (count < booked[Math.floorMod(fewest, SLOTS)][urgency]) {
                fewest = slot;
            }
        }
        return fewest;
    }

    /**
     * Returns the number of callers whose time to return has not passed. Changes nothing, since metrics are read on
     * another thread.
     */
    int pending(long nowMillis) {
        int count = 0;
        for (long slot = Math.max(firstSlot, Math.floorDiv(nowMillis, SLOT_MILLIS)); slot < firstSlot + SLOTS; slot++) {
            count += booked[Math.floorMod(slot, SLOTS)][AdmissionRequest.URGENCIES - 1];
        }
        return count;
    }

    private void expire(long nowMillis) {
        long current = Math.floorDiv(nowMillis, SLOT_MILLIS);
        long from = Math.max(firstSlot, current - SLOTS);
        for (long slot = from; slot < current; slot++) {
            java.util.Arrays.fill(booked[Math.floorMod(slot, SLOTS)], 0);
        }
        firstSlot = Math.max(firstSlot, current);
    }
}
