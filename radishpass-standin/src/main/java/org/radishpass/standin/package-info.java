/**
 * Stand-ins for the platform and its endpoints, with faults that are switched at run time.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.standin;

import org.jspecify.annotations.NullMarked;
