/**
 * Rules that make a non-idempotent request run at most once.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.core.once;

import org.jspecify.annotations.NullMarked;
