/**
 * Open-loop load, audit and report.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.load;

import org.jspecify.annotations.NullMarked;
