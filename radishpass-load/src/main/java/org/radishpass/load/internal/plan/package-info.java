/**
 * The processes that an experiment needs. Internal; not part of the API.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.load.internal.plan;

import org.jspecify.annotations.NullMarked;
