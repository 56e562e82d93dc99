/**
 * Encoding of documents that routers exchange: compressed, or as a delta against a version that the receiver has.
 *
 * @since 0.4.0
 */
@NullMarked
package org.radishpass.peer.document;

import org.jspecify.annotations.NullMarked;
