/**
 * Rules by which a non-idempotent request runs at most once.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.core.once;

import org.jspecify.annotations.NullMarked;
