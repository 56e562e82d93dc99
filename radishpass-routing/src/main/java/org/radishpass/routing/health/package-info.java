/**
 * What a router has seen of each endpoint's health.
 *
 * @since 0.2.0
 */
@NullMarked
package org.radishpass.routing.health;

import org.jspecify.annotations.NullMarked;
