/**
 * Documents on their way between routers: compressed, or as what has changed since one that the receiver has.
 *
 * @since 0.4.0
 */
@NullMarked
package org.radishpass.peer.document;

import org.jspecify.annotations.NullMarked;
