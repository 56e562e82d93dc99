/**
 * Prompts as prefix caches see them.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.core.cache;

import org.jspecify.annotations.NullMarked;
