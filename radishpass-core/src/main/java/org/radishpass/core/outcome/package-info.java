/**
 * What became of a request, and what a refusal may truthfully say.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.core.outcome;

import org.jspecify.annotations.NullMarked;
