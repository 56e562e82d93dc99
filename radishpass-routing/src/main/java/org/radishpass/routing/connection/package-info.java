/**
 * Decisions on connections to endpoints: how many one router may hold, and which idle ones may be reused.
 *
 * @since 0.8.0
 */
@NullMarked
package org.radishpass.routing.connection;

import org.jspecify.annotations.NullMarked;
