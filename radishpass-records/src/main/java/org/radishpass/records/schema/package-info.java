/**
 * The fields of each kind and schema version of record, and how versions map to each other.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.records.schema;

import org.jspecify.annotations.NullMarked;
