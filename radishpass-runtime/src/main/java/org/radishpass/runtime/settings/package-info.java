/**
 * Settings of programs, read from flags and environment variables and checked at start, and the exit codes of programs.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.runtime.settings;

import org.jspecify.annotations.NullMarked;
