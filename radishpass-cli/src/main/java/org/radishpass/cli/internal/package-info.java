/**
 * The commands of the operator's command line; not API.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.cli.internal;

import org.jspecify.annotations.NullMarked;
