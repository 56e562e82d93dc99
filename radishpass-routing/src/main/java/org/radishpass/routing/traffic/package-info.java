/**
 * Connections with callers and endpoints, and the handling of requests between them.
 *
 * @since 0.2.0
 */
@NullMarked
package org.radishpass.routing.traffic;

import org.jspecify.annotations.NullMarked;
