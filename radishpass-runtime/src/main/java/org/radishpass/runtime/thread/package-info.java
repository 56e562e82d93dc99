/**
 * The single thread that owns the control state of a process.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.runtime.thread;

import org.jspecify.annotations.NullMarked;
