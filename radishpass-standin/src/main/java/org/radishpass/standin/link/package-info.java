/**
 * Stand-in for the network between data centres, with links that can be cut.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.standin.link;

import org.jspecify.annotations.NullMarked;
