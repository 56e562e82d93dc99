/**
 * The commands of the operator's command-line tool. Internal, not part of the API.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.cli.internal;

import org.jspecify.annotations.NullMarked;
