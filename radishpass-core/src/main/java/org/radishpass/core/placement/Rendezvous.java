package org.radishpass.core.placement;

import net.openhft.hashing.LongHashFunction;

/**
 * Weighted rendezvous hashing, by which all processes that know the same members rank them in the same order for a key.
 *
 * <p>Removing a member moves only the keys that were assigned to that member. An added member takes its share of keys
 * from all other members.
 *
 * @since 0.1.0
 */
public final class Rendezvous {
    private static final LongHashFunction HASH = LongHashFunction.xx3();
    private static final double UNIT_SCALE = 0x1.0p-53;
    private static final int DROPPED_BITS = 11;
    private static final int MIX_SHIFT = 32;
    private static final long MIX_MULTIPLIER = 0xD6E8FEB86659FD93L;
    private static final long MEMBER_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private Rendezvous() {
        // static methods only
    }

    /**
     * Returns the hash of a key or of a member's id, to be computed once and used in many scores.
     *
     * @param key the key or the id
     */
    public static long hash(String key) {
        return HASH.hashChars(key);
    }

    /**
     * Combines the hash of a key with the hash of a member into a number that is distributed uniformly over all values.
     *
     * @param keyHash the {@link #hash} of the key
     * @param memberHash the {@link #hash} of the member's id
     */
    public static long mix(long keyHash, long memberHash) {
        long mixed = keyHash ^ (memberHash * MEMBER_MULTIPLIER);
        mixed = (mixed ^ (mixed >>> MIX_SHIFT)) * MIX_MULTIPLIER;
        mixed = (mixed ^ (mixed >>> MIX_SHIFT)) * MIX_MULTIPLIER;
        return mixed ^ (mixed >>> MIX_SHIFT);
    }

    /**
     * Returns the score of a member for a key. The member with the highest score ranks first. Members of equal weight
     * rank in the order of their {@link #mix}, taken as an unsigned number without its lowest 11 bits.
     *
     * @param keyHash the {@link #hash} of the key
     * @param memberHash the {@link #hash} of the member's id
     * @param weight the member's weight, above 0
     */
    public static double score(long keyHash, long memberHash, double weight) {
        double unit = ((mix(keyHash, memberHash) >>> DROPPED_BITS) + 0.5) * UNIT_SCALE;
        return -weight / Math.log(unit);
    }
}
