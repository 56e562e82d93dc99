/**
 * Callers' and endpoints' connections, and the life of a request between them.
 *
 * @since 0.2.0
 */
@NullMarked
package org.radishpass.routing.traffic;

import org.jspecify.annotations.NullMarked;
