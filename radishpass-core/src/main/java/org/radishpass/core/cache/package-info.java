/**
 * Division of prompts into the blocks that prefix caches use.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.core.cache;

import org.jspecify.annotations.NullMarked;
