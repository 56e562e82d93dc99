/**
 * The schemas of configuration records: fields of each kind and version, validation, and conversion to the stored form.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.records.schema;

import org.jspecify.annotations.NullMarked;
