/**
 * The operator's command-line tool.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.cli;

import org.jspecify.annotations.NullMarked;
