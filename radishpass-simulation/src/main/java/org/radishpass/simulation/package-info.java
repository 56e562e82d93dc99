/**
 * A simulation of routers, engines and plain services in virtual time.
 *
 * <p>Routers decide with the product's own classes: placement, work in flight, health, response times and retry budget. Engines,
 * services, callers and the network are models, see {@link org.radishpass.simulation.SimulatedEngine} and
 * {@link org.radishpass.simulation.PlainService}. Everything is drawn from one seed, so that a run repeats.
 *
 * @since 0.4.0
 */
@NullMarked
package org.radishpass.simulation;

import org.jspecify.annotations.NullMarked;
