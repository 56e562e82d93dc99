/**
 * The health of the endpoints: failed connections, errors, slow responses, rejections and leaving endpoints.
 *
 * @since 0.2.0
 */
@NullMarked
package org.radishpass.routing.health;

import org.jspecify.annotations.NullMarked;
