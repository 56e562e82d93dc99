/**
 * Stand-ins for the platform and its endpoints. Faults can be injected at run time.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.standin;

import org.jspecify.annotations.NullMarked;
