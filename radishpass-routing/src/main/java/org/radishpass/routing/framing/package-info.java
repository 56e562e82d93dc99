/**
 * How the end of an HTTP response is told from the loss of its connection: message framing, the events of a stream, and the
 * decision whether a response was whole.
 *
 * @since 0.10.0
 */
@NullMarked
package org.radishpass.routing.framing;

import org.jspecify.annotations.NullMarked;
