package org.radishpass.core.load;

/**
 * The identity of a slot.
 *
 * @param holder the identity of the router that holds the slot
 * @param number a number that is unique among the slots of the holder
 * @since 0.1.0
 */
public record SlotId(String holder, long number) {}
