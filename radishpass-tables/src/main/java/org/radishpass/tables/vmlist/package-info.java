/**
 * The platform's lagging list of machines.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.tables.vmlist;

import org.jspecify.annotations.NullMarked;
