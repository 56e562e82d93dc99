/** Tests of the operator's command-line tool. */
@NullMarked
package org.radishpass.cli.internal;

import org.jspecify.annotations.NullMarked;
