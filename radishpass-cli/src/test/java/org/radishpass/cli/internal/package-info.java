/** Checks of the operator's shell. */
@NullMarked
package org.radishpass.cli.internal;

import org.jspecify.annotations.NullMarked;
