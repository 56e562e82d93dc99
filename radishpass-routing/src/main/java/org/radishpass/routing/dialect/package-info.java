/**
 * What a deployment's dialect of HTTP headers says, as types; adapters implement the translation.
 *
 * @since 0.2.0
 */
@NullMarked
package org.radishpass.routing.dialect;

import org.jspecify.annotations.NullMarked;
