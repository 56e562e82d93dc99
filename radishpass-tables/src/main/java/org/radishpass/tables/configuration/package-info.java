/**
 * Configuration records kept in the table service.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.tables.configuration;

import org.jspecify.annotations.NullMarked;
