/**
 * The router program, which accepts HTTP requests of callers, places them on endpoints and returns the responses.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.router;

import org.jspecify.annotations.NullMarked;
