package org.radishpass.core.load;

import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.BiPredicate;

/**
 * The account of one endpoint's slots, kept by the endpoint's owner.
 *
 * <p>The account lists the slots that this owner granted or adopted. Requests that the endpoint reports beyond these
 * slots came through another owner and are added as foreign load. The account uses the lower foreign load of the last
 * two reports, because a report may still include requests whose slots were released since.
 *
 * <p>Not thread-safe: all calls must come from one thread.
 *
 * @since 0.1.0
 */
public final class SlotAccount {
    /** The capacity assumed for an endpoint that has not reported one. */
    public static final int UNKNOWN_CAPACITY = Integer.MAX_VALUE;

    private final Map<SlotId, HeldSlot> slots = new HashMap<>();
    private int capacity = UNKNOWN_CAPACITY;
    private int foreignRequests;
    private int previousForeignRequests;
    private int sheddableSlots;

    /** Returns the number of requests in progress at the endpoint, as far as its owner knows. */
    public int running() {
        return slots.size() + Math.min(foreignRequests, previousForeignRequests);
    }

    /**
     * Grants or denies a slot. A repeated request for a slot that is held already is granted and holds no second slot.
     *
     * @param request the requested slot
     * @param pool the load of the pool to which the request belongs
     * @param weight the weight of the endpoint
     */
    public SlotAnswer reserve(SlotRequest request, PoolLoad pool, double weight) {
        if (slots.containsKey(request.slot())) {
            return SlotAnswer.GRANTED;
        }
        if (!hasRoom(request)) {
            return SlotAnswer.FULL;
        }
        if (running() + 1 > request.bound().limit(pool, weight)) {
            return SlotAnswer.OVER_BOUND;
        }
        hold(request);
        return SlotAnswer.GRANTED;
    }

    /**
     * Adopts a slot that another owner granted, so that it no longer counts as foreign load.
     *
     * @param request the slot, which its holder holds already
     */
    public void adopt(SlotRequest request) {
        if (!slots.containsKey(request.slot())) {
            hold(request);
            foreignRequests = Math.max(0, foreignRequests - 1);
            previousForeignRequests = Math.max(0, previousForeignRequests - 1);
        }
    }

    /**
     * Releases a slot.
     *
     * @param slot the slot to release
     * @return whether the slot was held
     */
    public boolean release(SlotId slot) {
        HeldSlot held = slots.remove(slot);
        if (held == null) {
            return false;
        }
        if (held.sheddable()) {
            sheddableSlots--;
        }
        return true;
    }

    /**
     * Applies the endpoint's own report of its load.
     *
     * @param reportedRunning the number of requests in progress, as the endpoint reported it
     * @param reportedCapacity the number of requests that the endpoint can run concurrently; 0 if it does not report
     *     one
     */
    public void report(int reportedRunning, int reportedCapacity) {
        capacity = reportedCapacity > 0 ? reportedCapacity : UNKNOWN_CAPACITY;
        previousForeignRequests = foreignRequests;
        foreignRequests = Math.max(0, reportedRunning - slots.size());
    }

    /**
     * Releases the slots whose deadline has passed.
     *
     * @param now the current time by this process's clock
     * @return the number of slots released
     */
    public int expire(Instant now) {
        return removeIf((slot, held) -> !held.deadline().isAfter(now));
    }

    /**
     * Releases all slots of a router that has stopped.
     *
     * @param holder the id of the router that holds the slots
     * @return the number of slots released
     */
    public int releaseAllOf(String holder) {
        return removeIf((slot, held) -> slot.holder().equals(holder));
    }

    private int removeIf(BiPredicate<SlotId, HeldSlot> condition) {
        int removed = 0;
        Iterator<Map.Entry<SlotId, HeldSlot>> iterator = slots.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<SlotId, HeldSlot> entry = iterator.next();
            if (condition.test(entry.getKey(), entry.getValue())) {
                iterator.remove();
                sheddableSlots -= entry.getValue().sheddable() ? 1 : 0;
                removed++;
            }
        }
        return removed;
    }

    private boolean hasRoom(SlotRequest request) {
        if (running() >= capacity) {
            return false;
        }
        return !request.priority().sheddable()
                || sheddableSlots < request.priority().maxSlots(capacity);
    }

    private void hold(SlotRequest request) {
        boolean sheddable = request.priority().sheddable();
        slots.put(request.slot(), new HeldSlot(request.deadline(), sheddable));
        sheddableSlots += sheddable ? 1 : 0;
    }

    private record HeldSlot(Instant deadline, boolean sheddable) {}
}
