/**
 * Admission limits by workspace and by priority class.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.core.admission;

import org.jspecify.annotations.NullMarked;
