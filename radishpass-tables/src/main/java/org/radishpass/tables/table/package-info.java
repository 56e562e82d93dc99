/**
 * Client for the platform's transactional table service.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.tables.table;

import org.jspecify.annotations.NullMarked;
