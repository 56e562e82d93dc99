/**
 * The messages that routers exchange, and their encoding.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.peer.message;

import org.jspecify.annotations.NullMarked;
