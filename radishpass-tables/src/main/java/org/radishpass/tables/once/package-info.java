/**
 * Claims of non-idempotent requests kept in the table service.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.tables.once;

import org.jspecify.annotations.NullMarked;
