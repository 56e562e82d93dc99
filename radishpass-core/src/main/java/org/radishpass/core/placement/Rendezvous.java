package org.radishpass.core.placement;

import net.openhft.hashing.LongHashFunction;

/**
 * Weighted rendezvous hashing: every observer of the same members ranks them alike for a key.
 *
 * <p>Removing a member moves only the keys that it held; adding one takes its share from all.
 *
 * @since 0.1.0
 */
public final class Rendezvous {
    private static final LongHashFunction HASH = LongHashFunction.xx3();
    private static final double UNIT_SCALE = 0x1.0p-53;
    private static final int DROPPED_BITS = 11;
    private static final int SHIFT = 32;
    private static final long FINAL_MULTIPLIER = 0xD6E8FEB86659FD93L;
    private static final long MEMBER_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private Rendezvous() {
        // static methods only
    }

    /**
     * Hashes a key once, so that it can be scored against many members.
     *
     * @param key what is to be placed
     */
    public static long hash(String key) {
        return HASH.hashChars(key);
    }

    /**
     * Mixes a key with a member: a number that is spread evenly over all values.
     *
     * @param keyHash the {@link #hash} of the key
     * @param memberHash the {@link #hash} of the member's identity
     */
    public static long mix(long keyHash, long memberHash) {
        long mixed = keyHash ^ (memberHash * MEMBER_MULTIPLIER);
        mixed = (mixed ^ (mixed >>> SHIFT)) * FINAL_MULTIPLIER;
        mixed = (mixed ^ (mixed >>> SHIFT)) * FINAL_MULTIPLIER;
        return mixed ^ (mixed >>> SHIFT);
    }

    /**
     * Returns the score of a member for a key; the member with the highest score comes first. Among members of equal
     * weight the order is that of {@link #mix}, taken without its sign and its last bits.
     *
     * @param keyHash the {@link #hash} of the key
     * @param memberHash the {@link #hash} of the member's identity
     * @param weight the member's weight, above 0
     */
    public static double score(long keyHash, long memberHash, double weight) {
        double unit = ((mix(keyHash, memberHash) >>> DROPPED_BITS) + 0.5) * UNIT_SCALE;
        return -weight / Math.log(unit);
    }
}
