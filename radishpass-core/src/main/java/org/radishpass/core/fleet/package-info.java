/**
 * Virtual machines, data centres and endpoints, and immutable snapshots of them.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.core.fleet;

import org.jspecify.annotations.NullMarked;
