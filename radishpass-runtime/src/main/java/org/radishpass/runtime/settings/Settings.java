package org.radishpass.runtime.settings;

import java.util.List;

/**
 * The settings of a program: fields with args4j's annotations, and the checks that span a field or several.
 *
 * @since 0.1.0
 */
public interface Settings {
    /** Returns one clear line for each wrong setting; none when the program may start. */
    List<String> faults();
}
