/**
 * Stand-in for a model engine.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.standin.engine;

import org.jspecify.annotations.NullMarked;
