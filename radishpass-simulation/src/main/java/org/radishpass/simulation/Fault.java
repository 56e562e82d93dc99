package org.radishpass.simulation;

/**
 * A temporary fault that the simulation injects.
 *
 * @param type the type of the fault
 * @param target the service whose endpoints fail, or for {@link Type#SURGE} the name of the request class
 * @param atMillis the virtual time at which the fault begins, in milliseconds
 * @param forMillis the duration of the fault, in milliseconds; for {@link Type#REPLACED}, the time between the
 *     replacements of two endpoints
 * @param share the part of the service's endpoints that fail, from 0 to 1
 * @param factor for {@link Type#SLOW} and {@link Type#SURGE}, the factor by which work takes longer or requests are
 *     more frequent; for {@link Type#SHED}, the value of Retry-After, in seconds
 */
record Fault(Type type, String target, double atMillis, double forMillis, double share, double factor) {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The maximum number of runs at a shedding endpoint at which the endpoint still accepts another run. */
    private static final int MAX_ACCEPTING_LOAD = 1;

    /** The types of faults. */
    enum Type {
        /** Endpoints take longer for their work. */
        SLOW {
            @Override
            void apply(Simulation simulation, Fault fault) {
                simulation.applyToDrawnEndpoints(fault, model -> model.slowBy(fault.factor), model -> model.slowBy(1));
            }
        },
        /** Endpoints stop answering, and connection attempts to them time out. */
        SILENT {
            @Override
            void apply(Simulation simulation, Fault fault) {
                simulation.applyToDrawnEndpoints(fault, model -> model.silent(true), model -> model.silent(false));
            }
        },
        /**
         * Endpoints reject new requests while they already have more than one run, with a Retry-After of
         * {@link Fault#factor} seconds.
         */
        SHED {
            @Override
            void apply(Simulation simulation, Fault fault) {
                long backoffMillis = Math.round(fault.factor * MILLIS_PER_SECOND);
                simulation.applyToDrawnEndpoints(
                        fault, model -> model.shed(MAX_ACCEPTING_LOAD, backoffMillis), model -> model.shed(0, 0));
            }
        },
        /** Requests of one class arrive more often. */
        SURGE {
            @Override
            void apply(Simulation simulation, Fault fault) {
                simulation.multiplyRate(fault.target, fault.factor, fault.forMillis);
            }
        },
        /** Endpoints are replaced one after the other: each time a new endpoint joins, then an old endpoint leaves. */
        REPLACED {
            @Override
            void apply(Simulation simulation, Fault fault) {
                simulation.replace(fault);
            }
        };

        abstract void apply(Simulation simulation, Fault fault);
    }
}
