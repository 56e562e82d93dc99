/**
 * Configuration records kept in the table service.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.platform.configuration;

import org.jspecify.annotations.NullMarked;
