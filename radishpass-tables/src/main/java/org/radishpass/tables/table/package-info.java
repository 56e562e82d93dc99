/**
 * Transactions on the platform's table service.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.tables.table;

import org.jspecify.annotations.NullMarked;
