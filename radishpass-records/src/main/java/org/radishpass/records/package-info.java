/**
 * Configuration records: the stored form, the typed specs and the parser for record files.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.records;

import org.jspecify.annotations.NullMarked;
