/**
 * Transport of messages between routers over TCP. A frame is a length and an envelope in MessagePack.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.peer.transport;

import org.jspecify.annotations.NullMarked;
