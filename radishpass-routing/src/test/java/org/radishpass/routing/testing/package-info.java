/** Fakes written by hand: endpoints, a store and callers on loopback. */
@NullMarked
package org.radishpass.routing.testing;

import org.jspecify.annotations.NullMarked;
