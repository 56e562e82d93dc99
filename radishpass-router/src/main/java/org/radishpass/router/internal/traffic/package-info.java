/**
 * Handling of callers' requests, which runs on the event loops; not API.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.router.internal.traffic;

import org.jspecify.annotations.NullMarked;
