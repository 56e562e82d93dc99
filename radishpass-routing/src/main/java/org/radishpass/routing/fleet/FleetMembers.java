package org.radishpass.routing.fleet;

import java.util.Collection;
import org.radishpass.core.placement.Rendezvous;

/**
 * The routers of the fleet as known to this router. Used to assign responsibilities to routers without exchanging
 * messages.
 *
 * @since 0.6.0
 */
public final class FleetMembers {
    /** The members while they are unknown: this router is responsible for nothing. */
    public static final FleetMembers UNKNOWN = new FleetMembers(false, 0, new long[0]);

    private final boolean known;
    private final long self;
    private final long[] others;

    private FleetMembers(boolean known, long self, long[] others) {
        this.known = known;
        this.self = self;
        this.others = others;
    }

    /**
     * Returns the members of a fleet.
     *
     * @param self the id of this router
     * @param others the ids of all other routers, including those that may be gone
     */
    public static FleetMembers of(String self, Collection<String> others) {
        return new FleetMembers(
                true,
                Rendezvous.hash(self),
                others.stream().mapToLong(Rendezvous::hash).toArray());
    }

    /** Returns the number of routers, including this router; 0 if unknown. */
    public int count() {
        return known ? others.length + 1 : 0;
    }

    /**
     * Tells whether this router is among the routers that are responsible for a subject. The routers are chosen by
     * rendezvous hashing, so that routers that know the same members agree on the choice.
     *
     * @param key the hash of the subject
     * @param responsibleCount the number of responsible routers
     */
    public boolean responsible(long key, int responsibleCount) {
        if (!known) {
            return false;
        }
        long own = Rendezvous.mix(key, self);
        int higherRanked = 0;
        for (long other : others) {
            if (Rendezvous.mix(key, other) > own && ++higherRanked >= responsibleCount) {
                return false;
            }
        }
        return responsibleCount > 0;
    }
}
