/**
 * Types for the values in a deployment's HTTP headers. Adapters implement the translation to and from the headers.
 *
 * @since 0.2.0
 */
@NullMarked
package org.radishpass.routing.dialect;

import org.jspecify.annotations.NullMarked;
