package org.radishpass.core.load;

import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

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

    private final Map<String, Held> slots = new HashMap<>();
    private int capacity = UNKNOWN_CAPACITY;
    private int foreign;
    private int earlierForeign;
    private int lessUrgent;

    /** Returns the requests that run at the endpoint, as far as its owner can tell. */
    public int running() {
        return slots.size() + Math.min(foreign, earlierForeign);
    }

    /**
     * Grants or denies a slot. Asking again for a slot that is held answers as before.
     *
     * @param request the slot that is asked for
     * @param pool the load of the request's pool
     * @param weight the endpoint's weight
     */
    public SlotAnswer reserve(SlotRequest request, PoolLoad pool, double weight) {
        if (slots.containsKey(request.slotId())) {
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
        if (!slots.containsKey(request.slotId())) {
            hold(request);
            foreign = Math.max(0, foreign - 1);
            earlierForeign = Math.max(0, earlierForeign - 1);
        }
    }

    /**
     * Frees a slot.
     *
     * @param slotId the slot
     * @return whether it was held
     */
    public boolean release(String slotId) {
        Held held = slots.remove(slotId);
        if (held == null) {
            return false;
        }
        if (held.sheddable()) {
            lessUrgent--;
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
        earlierForeign = foreign;
        foreign = Math.max(0, reportedRunning - slots.size());
    }

    /**
     * Frees the slots whose deadline has passed.
     *
     * @param now the time by this process's clock
     * @return how many lapsed
     */
    public int expire(Instant now) {
        return removeIf(held -> !held.deadline().isAfter(now));
    }

    /**
     * Frees all slots of a router that is gone.
     *
     * @param holder the router
     * @return how many it held
     */
    public int releaseAllOf(String holder) {
        return removeIf(held -> held.holder().equals(holder));
    }

    private int removeIf(java.util.function.Predicate<Held> gone) {
        int removed = 0;
        Iterator<Held> each = slots.values().iterator();
        while (each.hasNext()) {
            Held held = each.next();
            if (gone.test(held)) {
                each.remove();
                lessUrgent -= held.sheddable() ? 1 : 0;
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
                || lessUrgent < request.priority().mostSlots(capacity);
    }

    private void hold(SlotRequest request) {
        boolean sheddable = request.priority().sheddable();
        slots.put(request.slotId(), new Held(request.holder(), request.deadline(), sheddable));
        lessUrgent += sheddable ? 1 : 0;
    }

    private record Held(String holder, Instant deadline, boolean sheddable) {}
}
