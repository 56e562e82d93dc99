/** Test fixtures: fake endpoints, a fake store, callers on the loopback interface, and virtual time. */
@NullMarked
package org.radishpass.routing.testing;

import org.jspecify.annotations.NullMarked;
