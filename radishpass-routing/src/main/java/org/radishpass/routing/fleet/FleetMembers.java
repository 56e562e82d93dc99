package org.radishpass.routing.fleet;

import java.util.Collection;
import org.radishpass.core.placement.Rendezvous;

/**
 * The routers of the fleet as one of them knows them, for duties that are shared out without a word.
 *
 * @since 0.6.0
 */
public final class FleetMembers {
    /** Nobody knows who else there is: no duty is this router's. */
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
     * @param self this router's id
     * @param others the ids of all others, those included that are suspected to be gone
     */
    public static FleetMembers of(String self, Collection<String> others) {
        return new FleetMembers(
                true,
                Rendezvous.hash(self),
                others.stream().mapToLong(Rendezvous::hash).toArray());
    }

    /** Returns how many routers there are, this one included; 0 if that is not known. */
    public int count() {
        return known ? others.length + 1 : 0;
    }

    /**
     * Tells whether this router is one of the few that are responsible for something, by rendezvous: routers that know the same members
     * agree on them.
     *
     * @param key the hash of what it is about
     * @param few how many routers are responsible
     */
    public boolean responsible(long key, int few) {
        if (!known) {
            return false;
        }
        long own = Rendezvous.mix(key, self);
        int before = 0;
        for (long other : others) {
            if (Rendezvous.mix(key, other) > own && ++before >= few) {
                return false;
            }
        }
        return few > 0;
    }
}
