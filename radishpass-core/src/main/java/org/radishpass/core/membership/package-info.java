/**
 * What a router knows of the fleet, from a lagging list, from endpoints' own reports and from failures.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.core.membership;

import org.jspecify.annotations.NullMarked;
