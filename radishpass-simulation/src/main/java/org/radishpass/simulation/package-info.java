/**
 * Simulates routers, inference engines and plain services in virtual time.
 *
 * <p>Simulated routers decide with the production classes for placement, work in flight, endpoint health, overdue
 * answers and retry budgets. Engines, plain services, callers and the network are models, see
 * {@link org.radishpass.simulation.SimulatedEngine} and {@link org.radishpass.simulation.SimulatedPlainEndpoint}. All
 * random numbers come from one seed, so that a simulation can be repeated.
 *
 * @since 0.4.0
 */
@NullMarked
package org.radishpass.simulation;

import org.jspecify.annotations.NullMarked;
