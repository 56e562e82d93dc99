package org.radishpass.simulation;

import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.radishpass.routing.config.RequestKind;
import org.radishpass.routing.retry.RetryAllowance;

/**
 * Draws deployments of random size, speed and load, with one fault or none. They show whether a policy works beyond the
 * deployment that it was designed for.
 */
final class RandomDeployments {
    private static final String ENGINES = "engines";
    private static final String PLAIN = "plain";
    private static final double FAULT_AT_MILLIS = 30_000;
    /**
     * The fault types that are drawn. {@link Fault.Type#SHED} is left out: an endpoint that sheds load asks routers to
     * stay away, so routers must respect the request even where fewer requests are then answered in time.
     */
    private static final Fault.Type[] FAULT_TYPES = {
        Fault.Type.SLOW, Fault.Type.SILENT, Fault.Type.SURGE, Fault.Type.REPLACED
    };

    private final RandomGenerator random;

    private RandomDeployments(long seed) {
        this.random = new Well19937c(seed);
    }

    /**
     * Draws a deployment. The same seed always gives the same deployment.
     *
     * @param seed the seed of the random numbers
     */
    static Deployment draw(long seed) {
        return new RandomDeployments(seed).draw();
    }

    private Deployment draw() {
        int engines = randomBetween(4, 30);
        int plain = randomBetween(2, 8);
        double workMillis = randomBetween(15, 120);
        double enginePerSecond = engines * randomBetween(2, 12);
        double plainPerSecond = plain * 6 * 1_000 / workMillis * randomBetween(10, 60) / 100.0;
        Deployment.Builder deployment = Deployment.builder()
                .routers(randomBetween(3, 16))
                .retryAllowance(new RetryAllowance(randomBetween(5, 30) / 100.0, randomBetween(10, 80), 10_000))
                .engines(
                        ENGINES,
                        engines,
                        new EngineSettings(
                                randomBetween(16, 128),
                                randomBetween(200, 900) * 1_000L,
                                randomBetween(20, 80) / 10.0,
                                randomBetween(5, 60),
                                0.05,
                                randomBetween(30, 150),
                                2_048))
                .plain(PLAIN, plain, 6, 24)
                .requestClass(chatClass(enginePerSecond))
                .requestClass(plainClass("order", RequestKind.NON_IDEMPOTENT, plainPerSecond * 0.7, workMillis))
                .requestClass(plainClass("lookup", RequestKind.IDEMPOTENT, plainPerSecond * 0.3, workMillis));
        return addRandomFault(deployment).build();
    }

    private RequestClass chatClass(double perSecond) {
        return new RequestClass(
                "chat",
                ENGINES,
                random.nextBoolean() ? RequestKind.RESUMABLE_STREAM : RequestKind.STREAM,
                perSecond,
                randomBetween(200, 1_000),
                randomBetween(3_000, 15_000),
                2,
                randomBetween(20, 400),
                randomBetween(100, 4_000),
                randomBetween(100, 6_000),
                randomBetween(50, 1_500),
                randomBetween(20, 400),
                0);
    }

    private RequestClass plainClass(String name, RequestKind kind, double perSecond, double workMillis) {
        return new RequestClass(
                name, PLAIN, kind, perSecond, workMillis * randomBetween(3, 6), 3_000, 2, 1, 0, 0, 0, 0, workMillis);
    }

    private Deployment.Builder addRandomFault(Deployment.Builder deployment) {
        if (randomBetween(1, 4) == 1) {
            return deployment;
        }
        Fault.Type type = FAULT_TYPES[random.nextInt(FAULT_TYPES.length)];
        String target =
                switch (type) {
                    case SURGE -> random.nextBoolean() ? "chat" : "order";
                    case REPLACED -> ENGINES;
                    default -> random.nextBoolean() ? ENGINES : PLAIN;
                };
        double forMillis = type == Fault.Type.REPLACED ? randomBetween(500, 1_500) : randomBetween(2_000, 6_000);
        double share = randomBetween(10, 50) / 100.0;
        return deployment.fault(new Fault(type, target, FAULT_AT_MILLIS, forMillis, share, randomBetween(2, 10)));
    }

    private int randomBetween(int least, int most) {
        return least + random.nextInt(most - least + 1);
    }
}
