/**
 * Open-loop load generation, audit and reports.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.load;

import org.jspecify.annotations.NullMarked;
