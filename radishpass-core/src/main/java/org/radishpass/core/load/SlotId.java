package org.radishpass.core.load;

/**
 * The id of a slot.
 *
 * @param holder the id of the router that holds the slot
 * @param number a number that is unique among the slots of the holder
 * @since 0.1.0
 */
public record SlotId(String holder, long number) {}
