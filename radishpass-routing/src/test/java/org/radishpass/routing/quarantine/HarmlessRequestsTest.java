package org.radishpass.routing.quarantine;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against the quarantine of harmless requests. The simulated service has few engines, of which one crashes about
 * every second, with or without a request that causes crashes. Callers repeat requests whose responses broke off. Fewer
 * than one in a thousand harmless requests may be refused, since a refusal costs the caller as much as a crash does.
 */
final class HarmlessRequestsTest {
    private static final String SERVICE = "chat";
    private static final int ENGINES = 13;
    private static final long SIMULATED_MILLIS = 120_000;
    private static final long RESTART_MILLIS = 3_000;
    private static final int ARRIVALS_PER_SECOND = 60;
    private static final long MEAN_RUN_MILLIS = 1_500;
    private static final int MAX_REPEATS = 4;
    private static final double MAX_REFUSED_FRACTION = 0.001;

    /**
     * With seeds 1 to 20 and about 8,000 requests each, 18 requests are refused in all. A fixed rule of two crashes for
     * every service refused 2,216.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void fewHarmlessRequestsAreRefusedWhileEnginesCrashOnTheirOwn(long seed) {
        Service service = new Service(seed, 1_000, false);
        service.run();
        assertWithMessage("refused of %s", service.requests)
                .that((double) service.refused / service.requests)
                .isLessThan(MAX_REFUSED_FRACTION);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void aRequestThatCrashesItsEngineIsFoundAndNoOtherIsRefused(long seed) {
        Service service = new Service(seed, Long.MAX_VALUE, true);
        service.run();
        assertWithMessage("engines crashed by the poison request")
                .that(service.crashesByPoison)
                .isAtMost(3);
        assertThat(service.refused).isEqualTo(0);
    }

    /** Combines both cases: the poison request must be found while engines also crash for other reasons. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void aRequestThatCrashesItsEngineIsFoundAmongUnrelatedCrashes(long seed) {
        Service service = new Service(seed, 2_000, true);
        service.run();
        assertThat(service.crashesByPoison).isAtMost(6);
        assertThat((double) service.refused / service.requests).isLessThan(MAX_REFUSED_FRACTION);
    }

    /** Simulates a service with a single quarantine, as if all routers exchanged their findings without delay. */
    private static final class Service {
        private final Random random;
        private final long meanMillisBetweenCrashes;
        private final PriorityQueue<Step> steps =
                new PriorityQueue<>(Comparator.comparingLong(Step::atMillis).thenComparingLong(Step::order));
        private final List<Engine> engines = new ArrayList<>();
        private final Quarantine quarantine = new Quarantine(new QuarantineListener() {
            @Override
            public void quarantined(CrashCause cause, int crashes, String origin) {
                // refusals are counted in arrive()
            }

            @Override
            public void tried(CrashCause cause, int crashes) {
                // not checked by this test
            }

            @Override
            public void cleared(CrashCause cause, int crashes) {
                // not checked by this test
            }
        });
        private long nowMillis;
        private long order;
        private long startedEngines;
        private int requests;
        private int refused;
        private int crashesByPoison;

        private Service(long seed, long meanMillisBetweenCrashes, boolean poisoned) {
            this.random = new Random(seed);
            this.meanMillisBetweenCrashes = meanMillisBetweenCrashes;
            for (int number = 0; number < ENGINES; number++) {
                engines.add(new Engine(startedEngines++));
            }
            for (int number = 0; number < SIMULATED_MILLIS / 1_000 * ARRIVALS_PER_SECOND; number++) {
                Request request = new Request(new RequestFingerprint(number % 10, 1, number), false);
                schedule(random.nextLong(SIMULATED_MILLIS), () -> arrive(request));
            }
            if (poisoned) {
                Request poison = new Request(new RequestFingerprint(1, 1, -1), true);
                schedule(10_000, () -> arrive(poison));
            }
            if (meanMillisBetweenCrashes < Long.MAX_VALUE) {
                schedule(exponentialMillis(meanMillisBetweenCrashes), this::crashAny);
            }
        }

        private void run() {
            while (!steps.isEmpty()) {
                Step next = steps.remove();
                nowMillis = next.atMillis;
                next.task.run();
            }
        }

        private void arrive(Request request) {
            requests += request.poison ? 0 : 1;
            RequestFeatures features = new RequestFeatures(request.fingerprint, List.of());
            if (!quarantine.decide(features, SERVICE, nowMillis).status().admitted()) {
                refused += request.poison ? 0 : 1;
                repeat(request);
                return;
            }
            if (engines.isEmpty()) {
                repeat(request);
                return;
            }
            quarantine.sent(features, nowMillis);
            Engine engine = engines.get(random.nextInt(engines.size()));
            Run run = new Run(request, nowMillis);
            engine.runs.add(run);
            long runMillis = request.poison ? 60 + random.nextInt(60) : exponentialMillis(MEAN_RUN_MILLIS);
            schedule(runMillis, () -> finish(engine, run));
        }

        private void finish(Engine engine, Run run) {
            if (!engine.runs.contains(run)) {
                return;
            }
            if (run.request.poison) {
                crashesByPoison++;
                crash(engine);
                return;
            }
            engine.runs.remove(run);
            quarantine.answered(run.request.fingerprint, SERVICE, nowMillis);
        }

        private void crashAny() {
            if (nowMillis < SIMULATED_MILLIS) {
                if (!engines.isEmpty()) {
                    crash(engines.get(random.nextInt(engines.size())));
                }
                schedule(exponentialMillis(meanMillisBetweenCrashes), this::crashAny);
            }
        }

        private void crash(Engine engine) {
            List<Run> broken = List.copyOf(engine.runs);
            engine.runs.clear();
            engines.remove(engine);
            quarantine.endpointCrashed(
                    SERVICE,
                    engine.hash,
                    broken.stream()
                            .map(run -> new InProgressRequest(run.request.fingerprint, nowMillis - run.sentAtMillis))
                            .toList(),
                    nowMillis,
                    nowMillis);
            broken.forEach(run -> repeat(run.request));
            schedule(RESTART_MILLIS, () -> engines.add(new Engine(startedEngines++)));
        }

        /** Repeats a request: the poison request about every second until the end, others only a few times. */
        private void repeat(Request request) {
            request.repeats++;
            boolean again = request.poison ? nowMillis < SIMULATED_MILLIS : request.repeats <= MAX_REPEATS;
            if (again) {
                schedule(
                        request.poison ? 500 + random.nextInt(1_000) : 50 + random.nextInt(250), () -> arrive(request));
            }
        }

        private void schedule(long inMillis, Runnable task) {
            steps.add(new Step(nowMillis + inMillis, order++, task));
        }

        private long exponentialMillis(long meanMillis) {
            return Math.round(-meanMillis * Math.log(1 - random.nextDouble()));
        }
    }

    /** An engine, identified by a number that is unique to this start. */
    private static final class Engine {
        private final long hash;
        private final List<Run> runs = new ArrayList<>();

        private Engine(long hash) {
            this.hash = hash;
        }
    }

    /** A request that its caller may send several times. */
    private static final class Request {
        private final RequestFingerprint fingerprint;
        private final boolean poison;
        private int repeats;

        private Request(RequestFingerprint fingerprint, boolean poison) {
            this.fingerprint = fingerprint;
            this.poison = poison;
        }
    }

    /** A run of a request at an engine, compared by object identity. */
    private static final class Run {
        private final Request request;
        private final long sentAtMillis;

        private Run(Request request, long sentAtMillis) {
            this.request = request;
            this.sentAtMillis = sentAtMillis;
        }
    }

    /** A task of the simulation that is due at a certain time. */
    private record Step(long atMillis, long order, Runnable task) {}
}
