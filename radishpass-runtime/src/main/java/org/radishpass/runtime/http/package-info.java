/**
 * HTTP servers and clients as every program sets them up.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.runtime.http;

import org.jspecify.annotations.NullMarked;
