/**
 * Requests to endpoints and the reading of their answers; not API.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.router.internal.endpoint;

import org.jspecify.annotations.NullMarked;
