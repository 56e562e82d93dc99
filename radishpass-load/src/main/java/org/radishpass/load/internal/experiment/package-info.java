/**
 * Experiment files. Internal; not part of the API.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.load.internal.experiment;

import org.jspecify.annotations.NullMarked;
