/** Tests of the dependencies between modules, and end-to-end tests of deployments. */
@org.jspecify.annotations.NullUnmarked
package org.radishpass.dist;
