package org.radishpass.core.load;

import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.BiPredicate;

/**
 * The exact account of one endpoint's slots, kept by its owner.
 *
 * <p>The account knows the slots that it granted. What the endpoint reports beyond them, work that came through another
 * owner, is added as foreign load; the lower of the last two reports counts, since a report lags behind releases.
 *
 * <p>Confined to one thread.
 *
 * @since 0.1.0
 */
public final class SlotAccount {
    /** The capacity of an endpoint that has not told its own. */
    public static final int UNKNOWN_CAPACITY = Integer.MAX_VALUE;

    private final Map<SlotId, HeldSlot> slots = new HashMap<>();
    private int capacity = UNKNOWN_CAPACITY;
    private int foreignRequests;
    private int previousForeignRequests;
    private int sheddableSlots;

    /** Returns the requests that run at the endpoint, as far as its owner can tell. */
    public int running() {
        return slots.size() + Math.min(foreignRequests, previousForeignRequests);
    }

    /**
     * Grants or denies a slot. Asking again for a slot that is held answers as before.
     *
     * @param request the slot that is asked for
     * @param pool the load of the request's pool
     * @param weight the endpoint's weight
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
     * Takes over a slot that another owner granted.
     *
     * @param request the slot that is held already
     */
    public void adopt(SlotRequest request) {
        if (!slots.containsKey(request.slot())) {
            hold(request);
            foreignRequests = Math.max(0, foreignRequests - 1);
            previousForeignRequests = Math.max(0, previousForeignRequests - 1);
        }
    }

    /**
     * Frees a slot.
     *
     * @param slot the slot
     * @return whether it was held
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
     * Takes the endpoint's own report.
     *
     * @param reportedRunning the requests that it says it runs
     * @param reportedCapacity the requests that it says it can run at once
     */
    public void report(int reportedRunning, int reportedCapacity) {
        capacity = reportedCapacity > 0 ? reportedCapacity : UNKNOWN_CAPACITY;
        previousForeignRequests = foreignRequests;
        foreignRequests = Math.max(0, reportedRunning - slots.size());
    }

    /**
     * Frees the slots whose deadline has passed.
     *
     * @param now the time by this process's clock
     * @return how many lapsed
     */
    public int expire(Instant now) {
        return removeIf((slot, held) -> !held.deadline().isAfter(now));
    }

    /**
     * Frees all slots of a router that is gone.
     *
     * @param holder the router
     * @return how many it held
     */
    public int releaseAllOf(String holder) {
        return removeIf((slot, held) -> slot.holder().equals(holder));
    }

    private int removeIf(BiPredicate<SlotId, HeldSlot> gone) {
        int removed = 0;
        Iterator<Map.Entry<SlotId, HeldSlot>> each = slots.entrySet().iterator();
        while (each.hasNext()) {
            Map.Entry<SlotId, HeldSlot> entry = each.next();
            if (gone.test(entry.getKey(), entry.getValue())) {
                each.remove();
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
