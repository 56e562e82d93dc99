/**
 * The HTTP servers and clients of every program.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.runtime.http;

import org.jspecify.annotations.NullMarked;
