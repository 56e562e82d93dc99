package org.radishpass.core.load;

/**
 * Names a slot.
 *
 * @param holder the router that holds it
 * @param number unique among the holder's slots
 * @since 0.1.0
 */
public record SlotId(String holder, long number) {}
