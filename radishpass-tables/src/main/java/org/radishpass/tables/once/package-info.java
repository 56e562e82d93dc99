/**
 * Claims that prevent a non-idempotent request from running twice, stored in the table service.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.tables.once;

import org.jspecify.annotations.NullMarked;
