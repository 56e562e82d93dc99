/**
 * Control state of a router, confined to its control thread; not API.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.router.internal.control;

import org.jspecify.annotations.NullMarked;
