package org.radishpass.routing.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.routing.dialect.EndpointLoad;
import org.radishpass.routing.dialect.PromptDescription;
import org.radishpass.routing.dialect.PromptPart;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.load.InFlight;
import org.radishpass.routing.load.InFlightTracker;
import org.radishpass.routing.performance.PlacementMethod;
import org.radishpass.routing.report.FleetObservationTracker;
import org.radishpass.routing.report.FleetObservations;

/**
 * Routers and endpoints of different speed in virtual time, in steps of 1 ms. Routers decide by the production classes
 * and learn of each other's work and observations every 200 ms, 100 ms late. Running requests share an endpoint: each is
 * slowed down by the others; requests beyond the slots wait in order. An endpoint caches the shared parts of the prompts
 * that it used last.
 */
final class UnevenFleet {
    private static final int REPORT_INTERVAL_MILLIS = 200;
    private static final int REPORT_DELAY_MILLIS = 100;
    private static final int WARM_UP_MILLIS = 5_000;
    private static final int FLUCTUATION_MILLIS = 100;
    private static final double TOKENS_PER_MILLI = 157;
    private static final int CACHED_PROMPTS = 40;

    private final Random random;
    private final Setup setup;
    private final List<Router> routers = new ArrayList<>();
    private final List<ServiceEndpoint> endpoints = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final Map<String, Server> serverById = new HashMap<>();
    private final List<Double> firstEventMillis = new ArrayList<>();
    private Map<String, InFlight> reportedWork = Map.of();
    private List<Map<String, InFlight>> reportedOwn = List.of();
    private FleetObservations reportedLoads = FleetObservations.NONE;
    private long nowMillis;
    private long readTokens;
    private int moves;
    private int overCap;
    private int maxInFlight;

    UnevenFleet(Setup setup, PlacementMethod method, long seed) {
        this.setup = setup;
        this.random = new Random(seed);
        for (int number = 0; number < setup.slowdowns().length; number++) {
            ServiceEndpoint endpoint = new ServiceEndpoint(
                    "e" + number,
                    "s",
                    new Address("10.0.0.1", 80 + number),
                    new DataCentre("dc"),
                    setup.slots(),
                    false);
            endpoints.add(endpoint);
            Server server = new Server(setup.slowdowns()[number]);
            servers.add(server);
            serverById.put(endpoint.id(), server);
        }
        for (int number = 0; number < setup.routers(); number++) {
            routers.add(new Router(method));
        }
    }

    /** Runs the fleet and returns what callers experienced after the first seconds. */
    Result run(int millis) {
        double due = 0;
        for (nowMillis = 0; nowMillis < millis; nowMillis++) {
            if (nowMillis % FLUCTUATION_MILLIS == 0) {
                servers.forEach(Server::fluctuate);
            }
            if (nowMillis % REPORT_INTERVAL_MILLIS == 0) {
                collectReports();
            }
            if (nowMillis % REPORT_INTERVAL_MILLIS == REPORT_DELAY_MILLIS) {
                deliverReports();
            }
            due += setup.requestsPerMilli();
            while (due >= 1) {
                due--;
                routers.get(random.nextInt(routers.size())).place();
            }
            checkCap();
            servers.forEach(Server::step);
        }
        double[] sorted =
                firstEventMillis.stream().mapToDouble(value -> value).sorted().toArray();
        return new Result(
                Arrays.stream(sorted).average().orElse(0),
                sorted.length == 0 ? 0 : sorted[(int) (sorted.length * 0.95)],
                sorted.length,
                readTokens,
                moves,
                overCap,
                maxInFlight);
    }

    private void checkCap() {
        int sum = 0;
        for (Server server : servers) {
            sum += server.inFlight();
        }
        double cap = 2.0 * sum / servers.size() + 3;
        for (Server server : servers) {
            maxInFlight = Math.max(maxInFlight, server.inFlight());
            if (server.inFlight() > cap) {
                overCap++;
            }
        }
    }

    private void collectReports() {
        Map<String, InFlight> sum = new HashMap<>();
        List<Map<String, InFlight>> own = new ArrayList<>();
        FleetObservationTracker gatherer = new FleetObservationTracker(now -> FleetObservations.NONE);
        for (int number = 0; number < routers.size(); number++) {
            Router router = routers.get(number);
            own.add(router.inFlight.ownWork());
            router.inFlight.ownWork().forEach((id, work) -> sum.merge(id, work, InFlight::plus));
            gatherer.recordPeerReport("r" + number, WorkScope.MEMBER, router.observations.own(nowMillis), nowMillis);
        }
        reportedWork = sum;
        reportedOwn = own;
        reportedLoads = new FleetObservations(List.of(), gatherer.loads(nowMillis));
    }

    private void deliverReports() {
        for (int number = 0; number < routers.size(); number++) {
            Map<String, InFlight> others = new HashMap<>(reportedWork);
            reportedOwn.get(number).forEach((id, work) -> others.merge(id, InFlight.NONE.minus(work), InFlight::plus));
            Router router = routers.get(number);
            router.inFlight.recordPeerReport("gatherer", WorkScope.OTHERS, others, nowMillis);
            router.observations.recordPeerReport("gatherer", WorkScope.OTHERS, reportedLoads, nowMillis);
        }
    }

    private boolean measuring() {
        return nowMillis >= WARM_UP_MILLIS;
    }

    /**
     * The load of a fleet.
     *
     * @param routers the number of routers
     * @param slowdowns the mean slowdown of each endpoint, as a factor
     * @param slots the slots of each endpoint
     * @param requestsPerMilli the requests per millisecond of all callers
     * @param subjects the number of subjects, each with shared parts of a prompt; 0 for requests without a prompt
     * @param fluctuation the largest relative change of a slowdown, drawn anew ten times a second
     */
    record Setup(
            int routers, double[] slowdowns, int slots, double requestsPerMilli, int subjects, double fluctuation) {}

    /**
     * What callers experienced.
     *
     * @param meanMillis the mean time to the first event
     * @param tailMillis the 95th percentile of the time to the first event
     * @param responses the number of responses
     * @param readTokens the tokens of shared parts that were read
     * @param moves the requests that were not sent to the first endpoint in the ranking of their prompt
     * @param overCap in how many ms an endpoint had more than twice the mean + 3 requests, summed over endpoints
     * @param maxInFlight the most requests in flight at an endpoint
     */
    record Result(
            double meanMillis,
            double tailMillis,
            int responses,
            long readTokens,
            int moves,
            int overCap,
            int maxInFlight) {}

    private final class Router {
        private final InFlightTracker inFlight = new InFlightTracker();
        private final EndpointChooser chooser = new EndpointChooser(inFlight, new DataCentre("dc"));
        private final FleetObservationTracker observations = new FleetObservationTracker(chooser.performance());

        private Router(PlacementMethod method) {
            chooser.performance().method(method);
            chooser.performance().fleetLoads(observations::loads);
        }

        private void place() {
            PromptDescription prompt = setup.subjects() == 0 ? null : prompt();
            PlacementChoice choice = chooser.choose(new PlacementQuery(
                            endpoints,
                            endpoints,
                            endpoints,
                            Optional.ofNullable(prompt),
                            Rendezvous.mix(random.nextLong(), 1),
                            routers.size(),
                            nowMillis))
                    .orElseThrow();
            if (prompt != null) {
                chooser.sent(prompt, choice.endpoint(), nowMillis);
            }
            moves += measuring() && choice.rank() > 0 ? 1 : 0;
            long tokens = prompt == null ? 0 : prompt.promptTokens() + prompt.maxOutputTokens();
            inFlight.started(choice.endpoint().id(), tokens);
            serverOf(choice.endpoint()).accept(new Request(this, choice, prompt, tokens));
        }

        /** Returns a prompt of a subject; a few subjects are requested often. */
        private PromptDescription prompt() {
            int subject = (int) (setup.subjects() * Math.pow(random.nextDouble(), 1.5));
            int shared = subject % 4 == 0 ? 10_000 : 800;
            return new PromptDescription(
                    "m", shared + 200, 100, List.of(new PromptPart("s" + subject, shared), new PromptPart("own", 200)));
        }
    }

    private Server serverOf(ServiceEndpoint endpoint) {
        Server server = serverById.get(endpoint.id());
        if (server == null) {
            throw new IllegalStateException("no server " + endpoint.id());
        }
        return server;
    }

    /** A request at a server. */
    private final class Request {
        private final Router router;
        private final PlacementChoice choice;
        private final @Nullable PromptDescription prompt;
        private final long tokens;
        private final long sentAtMillis = nowMillis;
        private double readingLeft;
        private double runningLeft;
        private boolean started;

        private Request(Router router, PlacementChoice choice, @Nullable PromptDescription prompt, long tokens) {
            this.router = router;
            this.choice = choice;
            this.prompt = prompt;
            this.tokens = tokens;
            this.readingLeft = prompt == null ? 20 : 5;
            this.runningLeft = prompt == null ? 20 : 300;
        }

        private void read(int promptTokens) {
            readingLeft += promptTokens / TOKENS_PER_MILLI;
        }

        /** Advances the request and tells whether it has ended. */
        private boolean advance(double workMillis, Server server) {
            if (readingLeft > 0) {
                readingLeft -= workMillis;
                if (readingLeft <= 0) {
                    firstEvent(server);
                }
                return false;
            }
            runningLeft -= workMillis;
            if (runningLeft <= 0) {
                router.inFlight.ended(choice.endpoint().id(), tokens);
            }
            return runningLeft <= 0;
        }

        private void firstEvent(Server server) {
            long millis = nowMillis - sentAtMillis;
            if (measuring()) {
                firstEventMillis.add((double) millis);
            }
            router.chooser
                    .performance()
                    .loadReceived(
                            choice.endpoint(),
                            new EndpointLoad(server.running.size(), server.waiting.size(), setup.slots(), (int)
                                    Math.round(100 * server.slowdown)),
                            nowMillis);
            router.chooser
                    .performance()
                    .firstEvent(choice.endpoint(), choice.estimate().tokensToRead(), millis, nowMillis);
        }
    }

    /** An endpoint. */
    private final class Server {
        private final double meanSlowdown;
        private final List<Request> running = new ArrayList<>();
        private final Deque<Request> waiting = new ArrayDeque<>();
        private final Map<String, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
        private double slowdown;

        private Server(double meanSlowdown) {
            this.meanSlowdown = meanSlowdown;
            this.slowdown = meanSlowdown;
        }

        private void fluctuate() {
            slowdown = meanSlowdown * (1 + setup.fluctuation() * (2 * random.nextDouble() - 1));
        }

        private int inFlight() {
            return running.size() + waiting.size();
        }

        private void accept(Request request) {
            waiting.add(request);
        }

        private void step() {
            while (running.size() < setup.slots() && !waiting.isEmpty()) {
                Request next = waiting.remove();
                start(next);
                running.add(next);
            }
            double share = setup.subjects() == 0 ? 1 : 1 + (double) running.size() / setup.slots();
            double workMillis = 1 / (slowdown * share);
            running.removeIf(request -> request.advance(workMillis, this));
        }

        private void start(Request request) {
            PromptDescription prompt = request.prompt;
            if (prompt == null || request.started) {
                return;
            }
            request.started = true;
            PromptPart shared = prompt.parts().get(0);
            request.read(prompt.parts().get(1).tokens());
            if (cache.put(shared.id(), true) == null) {
                request.read(shared.tokens());
                readTokens += measuring() ? shared.tokens() : 0;
            }
            if (cache.size() > CACHED_PROMPTS) {
                cache.remove(cache.keySet().iterator().next());
            }
        }
    }
}
