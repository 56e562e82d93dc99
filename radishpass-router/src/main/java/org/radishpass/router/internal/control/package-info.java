/**
 * Control state of a router: fleet, configuration and slot accounts. Confined to the control thread; not API.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.router.internal.control;

import org.jspecify.annotations.NullMarked;
