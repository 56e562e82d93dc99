/**
 * Audit and figures of a run. Internal; not part of the API.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.load.internal.report;

import org.jspecify.annotations.NullMarked;
