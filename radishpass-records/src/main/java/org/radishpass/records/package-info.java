/**
 * Configuration records: schema versions, reading, checking and conversion.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.records;

import org.jspecify.annotations.NullMarked;
