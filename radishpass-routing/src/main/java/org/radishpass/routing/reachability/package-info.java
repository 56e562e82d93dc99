/**
 * What routers know about the links between routers and endpoints: which services this router does not reach, and which
 * its peers do not reach.
 *
 * @since 0.9.0
 */
@NullMarked
package org.radishpass.routing.reachability;

import org.jspecify.annotations.NullMarked;
