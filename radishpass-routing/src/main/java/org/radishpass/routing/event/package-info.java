/**
 * The events that a router writes to its log, with their names and descriptions.
 *
 * @since 0.2.0
 */
@NullMarked
package org.radishpass.routing.event;

import org.jspecify.annotations.NullMarked;
