/**
 * Frames over TCP: a length and a MessagePack array.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.peer.transport;

import org.jspecify.annotations.NullMarked;
