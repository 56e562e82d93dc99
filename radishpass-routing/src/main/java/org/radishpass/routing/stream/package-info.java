/**
 * The origin of each stream that may be resumed: the service and the software version that began it, and where that is known.
 *
 * @since 0.10.0
 */
@NullMarked
package org.radishpass.routing.stream;

import org.jspecify.annotations.NullMarked;
