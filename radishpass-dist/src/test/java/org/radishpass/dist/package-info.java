/** Layer rules and end-to-end tests. */
@org.jspecify.annotations.NullUnmarked
package org.radishpass.dist;
