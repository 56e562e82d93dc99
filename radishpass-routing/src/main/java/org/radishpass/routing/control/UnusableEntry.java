package org.radishpass.routing.control;

/**
 * An entry of a list in the store that does not hold what the list is for; other entries are not affected. Processes other
 * than the owners of the list may write to it too.
 *
 * @param name the name under which the entry is stored
 * @param fault the kind of fault
 * @param detail a description of the fault for operators, which names the field
 * @since 0.12.0
 */
public record UnusableEntry(String name, EntryFault fault, String detail) {}
