/**
 * Accounts of the load of endpoints and the bound that keeps them even.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.core.load;

import org.jspecify.annotations.NullMarked;
