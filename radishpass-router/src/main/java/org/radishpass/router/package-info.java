/**
 * The router: callers' HTTP in, placement, dispatch, streaming, verdicts.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.router;

import org.jspecify.annotations.NullMarked;
