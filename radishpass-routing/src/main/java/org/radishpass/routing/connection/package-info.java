/**
 * Decisions on connections to endpoints: how many one router may hold, which idle ones may be reused, and to which request a
 * response belongs.
 *
 * @since 0.8.0
 */
@NullMarked
package org.radishpass.routing.connection;

import org.jspecify.annotations.NullMarked;
