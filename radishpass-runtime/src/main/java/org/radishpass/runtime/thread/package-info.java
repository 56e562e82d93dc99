/**
 * The one thread that owns a process's control state.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.runtime.thread;

import org.jspecify.annotations.NullMarked;
