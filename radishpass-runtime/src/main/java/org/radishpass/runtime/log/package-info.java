/**
 * The logging setup of every program.
 *
 * @since 0.2.0
 */
@NullMarked
package org.radishpass.runtime.log;

import org.jspecify.annotations.NullMarked;
