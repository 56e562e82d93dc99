package org.radishpass.routing.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.Stream;
import org.radishpass.routing.dialect.PromptDescription;
import org.radishpass.routing.dialect.PromptPart;
import org.radishpass.routing.fleet.SoftwareVersion;

/**
 * Simulates, in virtual time, routers with a quarantine each in front of the engines of one service. Engines exit on their
 * own, or when they begin to answer a prompt with the crashing part, and are back after some seconds. Requests with that part,
 * no two alike, arrive at any router among sound ones, which share the caller and all other parts.
 */
final class CrashingPartModel {
    private static final String SERVICE = "chat";
    private static final long WORKSPACE = 1;
    private static final SoftwareVersion VERSION = new SoftwareVersion("v1");
    private static final int ENGINES = 24;
    private static final long DURATION_MILLIS = 60_000;
    private static final long FIRST_CRASHING_MILLIS = 10_000;
    private static final long RESTART_MILLIS = 2_500;
    private static final long DETECTION_MILLIS = 400;
    private static final int MIN_DELIVERY_MILLIS = 20;
    private static final int DELIVERY_RANGE_MILLIS = 200;
    private static final int MIN_FIRST_EVENT_MILLIS = 60;
    private static final int FIRST_EVENT_RANGE_MILLIS = 140;
    private static final long MEAN_RUN_MILLIS = 1_500;
    private static final int FIRST_PARTS = 3;
    private static final int SECOND_PARTS = 20;
    private static final int REQUESTS_OF_SESSION = 8;
    private static final int EXITS_UNTIL_KNOWN = 5;
    private static final long CONTACT_MILLIS = 3_000;

    private final Random random;
    private final double ownExitsPerSecond;
    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(Comparator.comparingLong(Step::atMillis).thenComparingLong(Step::order));
    private final List<Quarantine> routers = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private final List<Long> crashingSends = new ArrayList<>();
    private final List<Long> crashingExits = new ArrayList<>();
    private long nowMillis;
    private long order;
    private long startedEngines;
    private int soundRequests;
    private int refusedSoundRequests;
    private int number;

    /**
     * Creates a model.
     *
     * @param seed determines all random choices
     * @param routerCount the number of routers
     * @param soundPerSecond the sound requests per second at all routers
     * @param crashingPerSecond the requests with the crashing part per second
     * @param ownExitsPerSecond the engines that exit on their own per second
     */
    CrashingPartModel(
            long seed, int routerCount, double soundPerSecond, double crashingPerSecond, double ownExitsPerSecond) {
        this.random = new Random(seed);
        this.ownExitsPerSecond = ownExitsPerSecond;
        for (int router = 0; router < routerCount; router++) {
            routers.add(router());
        }
        for (int engine = 0; engine < ENGINES; engine++) {
            engines.add(new Engine(startedEngines++));
        }
        arrivals(soundPerSecond, 0, false);
        arrivals(crashingPerSecond, FIRST_CRASHING_MILLIS, true);
        scheduleOwnExit();
    }

    /** Runs the model to its end. */
    Result run() {
        while (!steps.isEmpty() && steps.peek().atMillis <= DURATION_MILLIS) {
            Step next = steps.remove();
            nowMillis = next.atMillis;
            next.task.run();
        }
        long knownMillis = crashingExits.size() < EXITS_UNTIL_KNOWN
                ? DURATION_MILLIS
                : crashingExits.get(EXITS_UNTIL_KNOWN - 1) + CONTACT_MILLIS;
        return new Result(
                crashingExits.size(),
                crashingSends.stream().filter(sent -> sent > knownMillis).count(),
                crashingSends.isEmpty() ? 0 : crashingSends.get(crashingSends.size() - 1) - crashingSends.get(0),
                soundRequests,
                refusedSoundRequests);
    }

    private Quarantine router() {
        Quarantine quarantine = new Quarantine(new QuarantineListener() {
            @Override
            public void quarantined(CrashCause cause, int crashes, String origin) {
                // refusals are counted where requests arrive
            }

            @Override
            public void tried(CrashCause cause, int crashes) {
                // no trial falls into the duration
            }

            @Override
            public void cleared(CrashCause cause, int crashes) {
                // not counted
            }
        });
        quarantine.endpointVersions(hash -> VERSION);
        quarantine.setSuspectListener(new SuspectListener() {
            @Override
            public void found(SuspectReport news) {
                distribute(quarantine, news);
            }

            @Override
            public void quarantined(Suspect suspect) {
                // the model has no store
            }

            @Override
            public void released(CrashCause cause) {
                // the model has no store
            }
        });
        return quarantine;
    }

    private void distribute(Quarantine from, SuspectReport news) {
        for (Quarantine router : routers) {
            if (router != from) {
                schedule(
                        MIN_DELIVERY_MILLIS + random.nextInt(DELIVERY_RANGE_MILLIS),
                        () -> router.merge(news, "other", nowMillis));
            }
        }
    }

    private void arrivals(double perSecond, long fromMillis, boolean crashing) {
        if (perSecond > 0) {
            long afterMillis = Math.max(fromMillis - nowMillis, 0) + exponentialMillis(1_000 / perSecond);
            schedule(afterMillis, () -> {
                arrive(new Request(features(crashing), crashing), true);
                arrivals(perSecond, 0, crashing);
            });
        }
    }

    private RequestFeatures features(boolean crashing) {
        number++;
        String third = crashing ? "bad" : "session" + number / REQUESTS_OF_SESSION;
        List<PromptPart> parts = Stream.of(
                        "first" + random.nextInt(FIRST_PARTS), "second" + random.nextInt(SECOND_PARTS), third, "last")
                .map(id -> new PromptPart(id, 100))
                .toList();
        return new RequestFeatures(
                new RequestFingerprint(WORKSPACE, 7, number),
                PromptPartFingerprint.sharedParts(WORKSPACE, SERVICE, new PromptDescription("model", 0, 0, parts)));
    }

    private void arrive(Request request, boolean first) {
        arriveAt(routers.get(random.nextInt(routers.size())), request, first);
    }

    private void arriveAt(Quarantine router, Request request, boolean first) {
        soundRequests += request.crashing || !first ? 0 : 1;
        if (!router.decide(request.features, SERVICE, nowMillis).status().admitted()) {
            refusedSoundRequests += request.crashing ? 0 : 1;
            return;
        }
        if (!engines.isEmpty()) {
            send(request, router, first);
        }
    }

    private void send(Request request, Quarantine router, boolean first) {
        router.sent(request.features, nowMillis);
        Run run = new Run(request, router, engines.get(random.nextInt(engines.size())), nowMillis, first);
        run.engine.runs.add(run);
        if (request.crashing) {
            crashingSends.add(nowMillis);
        }
        schedule(MIN_FIRST_EVENT_MILLIS + random.nextInt(FIRST_EVENT_RANGE_MILLIS), () -> begin(run));
    }

    private void begin(Run run) {
        if (!run.engine.runs.contains(run)) {
            return;
        }
        if (run.request.crashing) {
            crashingExits.add(nowMillis);
            exit(run.engine);
            return;
        }
        run.begun = true;
        run.router.responseBegan(run.request.features.parts(), SERVICE, VERSION, nowMillis);
        schedule(exponentialMillis(MEAN_RUN_MILLIS), () -> complete(run));
    }

    private void complete(Run run) {
        if (run.engine.runs.remove(run)) {
            run.router.answered(run.request.features.request(), SERVICE, nowMillis);
        }
    }

    private void scheduleOwnExit() {
        if (ownExitsPerSecond > 0) {
            schedule(exponentialMillis(1_000 / ownExitsPerSecond), () -> {
                if (!engines.isEmpty()) {
                    exit(engines.get(random.nextInt(engines.size())));
                }
                scheduleOwnExit();
            });
        }
    }

    private void exit(Engine engine) {
        List<Run> broken = List.copyOf(engine.runs);
        engine.runs.clear();
        engines.remove(engine);
        long exitedAtMillis = nowMillis;
        Map<Quarantine, List<InProgressRequest>> byRouter = new HashMap<>();
        broken.forEach(run -> byRouter.computeIfAbsent(run.router, router -> new ArrayList<>())
                .add(run.inProgress(exitedAtMillis)));
        byRouter.forEach((router, inProgress) -> schedule(
                DETECTION_MILLIS,
                () -> router.endpointCrashed(SERVICE, engine.hash, inProgress, exitedAtMillis, nowMillis)));
        broken.stream().filter(run -> run.first && !run.begun).forEach(this::retry);
        schedule(RESTART_MILLIS, () -> engines.add(new Engine(startedEngines++)));
    }

    private void retry(Run run) {
        QuarantineStatus status =
                run.router.decide(run.request.features, SERVICE, nowMillis).status();
        if (status.mayBeRetried()) {
            arriveAt(run.router, run.request, false);
        }
    }

    private void schedule(long inMillis, Runnable task) {
        steps.add(new Step(nowMillis + inMillis, order++, task));
    }

    private long exponentialMillis(double meanMillis) {
        return Math.round(-meanMillis * Math.log(1 - random.nextDouble()));
    }

    /**
     * What came of a run of the model.
     *
     * @param exits the engines that the part crashed
     * @param lateSends the requests with the part that were sent later than 3 s after the fifth of these exits
     * @param sendingMillis the time from the first to the last request with the part that was sent, in milliseconds
     * @param sound the sound requests
     * @param refused the sound requests that the quarantine refused
     */
    record Result(int exits, long lateSends, long sendingMillis, int sound, int refused) {}

    private record Request(RequestFeatures features, boolean crashing) {}

    private record Step(long atMillis, long order, Runnable task) {}

    /** An engine, identified by a number that is unique to this start. */
    private static final class Engine {
        private final long hash;
        private final List<Run> runs = new ArrayList<>();

        private Engine(long hash) {
            this.hash = hash;
        }
    }

    /** A run of a request at an engine, compared by object identity. */
    private static final class Run {
        private final Request request;
        private final Quarantine router;
        private final Engine engine;
        private final long sentAtMillis;
        private final boolean first;
        private boolean begun;

        private Run(Request request, Quarantine router, Engine engine, long sentAtMillis, boolean first) {
            this.request = request;
            this.router = router;
            this.engine = engine;
            this.sentAtMillis = sentAtMillis;
            this.first = first;
        }

        private InProgressRequest inProgress(long exitedAtMillis) {
            RequestFeatures features = request.features;
            return new InProgressRequest(
                    features.request(), exitedAtMillis - sentAtMillis, begun ? List.of() : features.parts());
        }
    }
}
