package org.radishpass.runtime.settings;

import java.util.List;

/**
 * The settings of a program: fields with args4j annotations, and checks of single fields and of combinations of fields.
 *
 * @since 0.1.0
 */
public interface Settings {
    /** Returns one message for each invalid setting; empty if the program may start. */
    List<String> faults();
}
