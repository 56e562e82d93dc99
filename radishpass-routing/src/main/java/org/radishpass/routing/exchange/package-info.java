/**
 * One request and its response on a connection: where messages begin and end, and to which request a response belongs.
 *
 * @since 0.16.0
 */
@NullMarked
package org.radishpass.routing.exchange;

import org.jspecify.annotations.NullMarked;
