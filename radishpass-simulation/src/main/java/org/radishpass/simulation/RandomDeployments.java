package org.radishpass.simulation;

import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.radishpass.routing.config.RequestKind;
import org.radishpass.routing.retry.RetryAllowance;

/** Deployments of random size, speed and load, calm or with one fault: nothing may be right for one deployment only. */
final class RandomDeployments {
    private static final String ENGINES = "engines";
    private static final String PLAIN = "plain";
    private static final double FAULT_AT_MILLIS = 30_000;
    /**
     * The faults that are drawn. Endpoints that reject requests are left out: to send them nothing is what they ask for, also where it costs
     * answers in time.
     */
    private static final Fault.Type[] TYPES = {Fault.Type.SLOW, Fault.Type.SILENT, Fault.Type.SURGE, Fault.Type.REPLACED
    };

    private final RandomGenerator random;

    private RandomDeployments(long seed) {
        this.random = new Well19937c(seed);
    }

    /**
     * Draws a deployment.
     *
     * @param seed what it is drawn from
     */
    static Deployment draw(long seed) {
        return new RandomDeployments(seed).draw();
    }

    private Deployment draw() {
        int engines = between(4, 30);
        int plain = between(2, 8);
        double workMillis = between(15, 120);
        double enginePerSecond = engines * between(2, 12);
        double plainPerSecond = plain * 6 * 1_000 / workMillis * between(10, 60) / 100.0;
        Deployment.Builder deployment = Deployment.builder()
                .routers(between(3, 16))
                .allowance(new RetryAllowance(between(5, 30) / 100.0, between(10, 80), 10_000))
                .engines(
                        ENGINES,
                        engines,
                        new EngineSettings(
                                between(16, 128),
                                between(200, 900) * 1_000L,
                                between(20, 80) / 10.0,
                                between(5, 60),
                                0.05,
                                between(30, 150),
                                2_048))
                .plain(PLAIN, plain, 6, 24)
                .requests(chat(enginePerSecond))
                .requests(call("order", RequestKind.NON_IDEMPOTENT, plainPerSecond * 0.7, workMillis))
                .requests(call("lookup", RequestKind.IDEMPOTENT, plainPerSecond * 0.3, workMillis));
        return fault(deployment).build();
    }

    private RequestClass chat(double perSecond) {
        return new RequestClass(
                "chat",
                ENGINES,
                random.nextBoolean() ? RequestKind.RESUMABLE_STREAM : RequestKind.STREAM,
                perSecond,
                between(200, 1_000),
                between(3_000, 15_000),
                2,
                between(20, 400),
                between(100, 4_000),
                between(100, 6_000),
                between(50, 1_500),
                between(20, 400),
                0);
    }

    private RequestClass call(String name, RequestKind kind, double perSecond, double workMillis) {
        return new RequestClass(
                name, PLAIN, kind, perSecond, workMillis * between(3, 6), 3_000, 2, 1, 0, 0, 0, 0, workMillis);
    }

    private Deployment.Builder fault(Deployment.Builder deployment) {
        if (between(1, 4) == 1) {
            return deployment;
        }
        Fault.Type type = TYPES[random.nextInt(TYPES.length)];
        String target =
                switch (type) {
                    case SURGE -> random.nextBoolean() ? "chat" : "order";
                    case REPLACED -> ENGINES;
                    default -> random.nextBoolean() ? ENGINES : PLAIN;
                };
        double forMillis = type == Fault.Type.REPLACED ? between(500, 1_500) : between(2_000, 6_000);
        double share = between(10, 50) / 100.0;
        return deployment.fault(new Fault(type, target, FAULT_AT_MILLIS, forMillis, share, between(2, 10)));
    }

    private int between(int least, int most) {
        return least + random.nextInt(most - least + 1);
    }
}
