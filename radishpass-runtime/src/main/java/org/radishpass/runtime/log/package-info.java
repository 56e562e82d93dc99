/**
 * How every program writes its log.
 *
 * @since 0.2.0
 */
@NullMarked
package org.radishpass.runtime.log;

import org.jspecify.annotations.NullMarked;
