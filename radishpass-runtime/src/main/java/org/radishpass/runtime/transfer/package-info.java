/**
 * Transfers of documents: how long one that is under way is waited for.
 *
 * @since 0.4.0
 */
@NullMarked
package org.radishpass.runtime.transfer;

import org.jspecify.annotations.NullMarked;
