/**
 * Stand-ins for the table service, the object store, the weight store and the VM list.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.standin.platform;

import org.jspecify.annotations.NullMarked;
