/**
 * Requests that end the endpoints that run them: how they are recognised when they come again, and kept from further endpoints.
 *
 * @since 0.5.0
 */
@NullMarked
package org.radishpass.routing.quarantine;

import org.jspecify.annotations.NullMarked;
