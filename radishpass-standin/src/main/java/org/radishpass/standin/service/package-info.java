/**
 * Stand-in for a plain service.
 *
 * @since 0.1.0
 */
@NullMarked
package org.radishpass.standin.service;

import org.jspecify.annotations.NullMarked;
