/**
 * How fast each endpoint currently is, and the methods of placing requests on endpoints that differ in speed.
 *
 * @since 0.8.0
 */
@NullMarked
package org.radishpass.routing.performance;

import org.jspecify.annotations.NullMarked;
