package org.radishpass.simulation;

/**
 * Something that goes wrong for a while.
 *
 * @param type what
 * @param target the service whose endpoints it strikes, or the class of requests that surges
 * @param atMillis when it begins, in milliseconds
 * @param forMillis how long it lasts, in milliseconds; for {@link Type#REPLACED}, the pause between two endpoints
 * @param share the part of the endpoints that it strikes
 * @param factor how many times as slow, or as many; for {@link Type#SHED}, the seconds of Retry-After
 */
record Fault(Type type, String target, double atMillis, double forMillis, double share, double factor) {
    private static final double MILLIS = 1_000;

    /** The runs that a shedding endpoint has when it still takes another one. */
    private static final int SHEDS_FROM = 1;

    /** What can go wrong. */
    enum Type {
        /** Endpoints work slower. */
        SLOW {
            @Override
            void strike(Simulation simulation, Fault fault) {
                simulation.forStruck(fault, model -> model.slowBy(fault.factor), model -> model.slowBy(1));
            }
        },
        /** Endpoints fall silent: connections to them hang. */
        SILENT {
            @Override
            void strike(Simulation simulation, Fault fault) {
                simulation.forStruck(fault, model -> model.silent(true), model -> model.silent(false));
            }
        },
        /** Endpoints reject new requests but for one at a time, with a Retry-After of {@link Fault#factor} seconds. */
        SHED {
            @Override
            void strike(Simulation simulation, Fault fault) {
                long backoffMillis = Math.round(fault.factor * MILLIS);
                simulation.forStruck(fault, model -> model.shed(SHEDS_FROM, backoffMillis), model -> model.shed(0, 0));
            }
        },
        /** More requests of a class come. */
        SURGE {
            @Override
            void strike(Simulation simulation, Fault fault) {
                simulation.surge(fault.target, fault.factor, fault.forMillis);
            }
        },
        /** Endpoints are replaced one after the other: a new one joins, then an old one leaves. */
        REPLACED {
            @Override
            void strike(Simulation simulation, Fault fault) {
                simulation.replace(fault);
            }
        };

        abstract void strike(Simulation simulation, Fault fault);
    }
}
