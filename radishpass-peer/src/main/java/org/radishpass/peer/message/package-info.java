/**
 * The messages that routers send each other.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.peer.message;

import org.jspecify.annotations.NullMarked;
