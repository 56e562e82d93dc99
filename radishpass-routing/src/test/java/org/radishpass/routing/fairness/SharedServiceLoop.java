package org.radishpass.routing.fairness;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.IntUnaryOperator;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.routing.report.FleetObservationTracker;
import org.radishpass.routing.report.FleetObservations;
import org.radishpass.routing.report.ObservationSource;
import org.radishpass.routing.report.ServiceDemand;

/**
 * A loop in steps of 1 ms over a fleet of routers that send the requests of callers to one service. Every router learns
 * the work in flight and the demand of the others from reports that are 100 to 300 ms old.
 */
final class SharedServiceLoop {
    static final String SERVICE = "plain";

    /** The slots of one endpoint, and the requests that it queues before it rejects. */
    static final int ENDPOINT_SLOTS = 6;

    private static final int ENDPOINT_QUEUE = 24;
    private static final double LIMIT_PER_SLOT = 2.5;
    private static final double LIMIT_PER_SLOT_WITH_SHARES = 4;

    /** The mean time of a request, in milliseconds: 105 requests/s on 6 slots. */
    private static final double MEAN_SERVICE_MILLIS = ENDPOINT_SLOTS * 1_000.0 / 105;

    private static final int REPORT_MILLIS = 100;
    private static final int DEMAND_REPORTS = 3;

    private final Random random;
    private final List<Router> routers = new ArrayList<>();
    private final Map<RequestClass, Double> offered = new HashMap<>();
    private final Map<RequestClass, int[]> counts = new HashMap<>();
    private final PriorityQueue<Job> running = new PriorityQueue<>((a, b) -> Long.compare(a.endMillis, b.endMillis));
    private final ArrayDeque<Job> queued = new ArrayDeque<>();
    private IntUnaryOperator groupOf = router -> 0;
    private int slots = ENDPOINT_SLOTS;
    private long nowMillis;
    private long busySlotMillis;
    private long slotMillis;
    private long rejections;
    private long sent;
    private long wronglyRefused;

    SharedServiceLoop(int routerCount, long seed) {
        random = new Random(seed);
        for (int index = 0; index < routerCount; index++) {
            routers.add(new Router(index));
        }
    }

    /** Sets the requests per second that callers offer for a workspace and an urgency. */
    SharedServiceLoop offer(String workspace, int urgency, double perSecond) {
        offered.put(new RequestClass(workspace, urgency), perSecond);
        return this;
    }

    /** Sets the number of endpoints. Requests in excess of the new slots end as they would have. */
    SharedServiceLoop endpoints(int count) {
        slots = count * ENDPOINT_SLOTS;
        return this;
    }

    /** Disables the shares, so that the limit on the requests in flight decides alone. */
    SharedServiceLoop withoutShares() {
        routers.forEach(router -> router.shares.enabled(false));
        return this;
    }

    /** Divides the fleet into groups whose routers receive no reports from each other. */
    SharedServiceLoop partition(IntUnaryOperator newGroupOf) {
        groupOf = newGroupOf;
        return this;
    }

    /** Passes the demand that a member of its group reports to every router, after the check of its figures. */
    SharedServiceLoop report(String peerId, List<ServiceDemand> demand) {
        routers.forEach(router -> router.receive(peerId, WorkScope.MEMBER, new FleetObservations(demand, List.of())));
        return this;
    }

    /** Runs the loop. */
    SharedServiceLoop run(long millis) {
        long endMillis = nowMillis + millis;
        while (nowMillis < endMillis) {
            nowMillis++;
            complete();
            offered.forEach((requestClass, perSecond) -> {
                for (int arrivals = poisson(perSecond / 1_000); arrivals > 0; arrivals--) {
                    routers.get(random.nextInt(routers.size())).arrive(requestClass);
                }
            });
            if (nowMillis % REPORT_MILLIS == 0) {
                takeReports(nowMillis % (DEMAND_REPORTS * REPORT_MILLIS) == 0);
            }
            routers.forEach(Router::tick);
            busySlotMillis += Math.min(slots, running.size());
            slotMillis += slots;
        }
        return this;
    }

    /** Forgets what was counted so far. */
    SharedServiceLoop resetCounts() {
        counts.clear();
        busySlotMillis = 0;
        slotMillis = 0;
        rejections = 0;
        sent = 0;
        wronglyRefused = 0;
        return this;
    }

    /** Returns the part of the slots that was in use. */
    double utilisation() {
        return (double) busySlotMillis / slotMillis;
    }

    /** Returns the part of the requests sent that the endpoints rejected. */
    double rejectedFraction() {
        return (double) rejections / Math.max(1, sent);
    }

    /** Returns the part of all arrivals that was refused while under half of the slots were in use. */
    double wronglyRefusedFraction() {
        return (double) wronglyRefused
                / counts.values().stream().mapToInt(count -> count[0]).sum();
    }

    /** Returns the part of the arrivals of an urgency that was served. */
    double served(int urgency) {
        return served(requestClass -> requestClass.urgency() == urgency);
    }

    /** Returns the part of the arrivals of a workspace that was served. */
    double served(String workspace) {
        return served(requestClass -> requestClass.workspace().equals(workspace));
    }

    /** Returns the part of all arrivals that was served. */
    double served() {
        return served(requestClass -> true);
    }

    private double served(Predicate<RequestClass> included) {
        int arrived = 0;
        int served = 0;
        for (Map.Entry<RequestClass, int[]> entry : counts.entrySet()) {
            if (included.test(entry.getKey())) {
                arrived += entry.getValue()[0];
                served += entry.getValue()[1];
            }
        }
        return (double) served / Math.max(1, arrived);
    }

    /** Returns what was counted so far, for comparison with another loop of the same seed. */
    String outcome() {
        StringBuilder text = new StringBuilder("sent " + sent + " rejected " + rejections);
        counts.entrySet().stream()
                .sorted(Comparator.comparing(entry -> entry.getKey().toString()))
                .forEach(entry -> text.append(' ')
                        .append(entry.getKey())
                        .append(entry.getValue()[0])
                        .append('/')
                        .append(entry.getValue()[1]));
        return text.toString();
    }

    /** Returns the routers at which the service is contended. */
    long contendedRouters() {
        return routers.stream()
                .filter(router -> !router.shares.contendedServices().isEmpty())
                .count();
    }

    private void takeReports(boolean withDemand) {
        Map<Integer, Integer> inFlight = new HashMap<>();
        routers.forEach(router -> inFlight.merge(groupOf.applyAsInt(router.index), router.inFlight, Integer::sum));
        Map<Integer, Map<ServiceDemand.Key, ServiceDemand>> demand = new HashMap<>();
        List<FleetObservations> own = new ArrayList<>();
        for (Router router : routers) {
            own.add(withDemand ? router.tracker.own(nowMillis) : FleetObservations.NONE);
            Map<ServiceDemand.Key, ServiceDemand> group =
                    demand.computeIfAbsent(groupOf.applyAsInt(router.index), absent -> new HashMap<>());
            own.get(router.index).demand().forEach(entry -> group.merge(entry.key(), entry, ServiceDemand::plus));
        }
        for (Router router : routers) {
            int group = groupOf.applyAsInt(router.index);
            Map<ServiceDemand.Key, ServiceDemand> others = new HashMap<>(demand.getOrDefault(group, Map.of()));
            own.get(router.index)
                    .demand()
                    .forEach(entry -> others.computeIfPresent(entry.key(), (key, sum) -> sum.minus(entry)));
            boolean alone = routers.stream()
                            .filter(peer -> groupOf.applyAsInt(peer.index) == group)
                            .count()
                    == 1;
            if (!alone) {
                router.pending.add(new Report(
                        nowMillis + router.delayMillis,
                        inFlight.getOrDefault(group, 0) - router.inFlight,
                        new FleetObservations(List.copyOf(others.values()), List.of())));
            }
        }
    }

    private void complete() {
        while (!running.isEmpty() && running.peek().endMillis <= nowMillis) {
            Job job = running.remove();
            job.router.inFlight--;
            job.router.shares.completed(SERVICE, job.requestClass, nowMillis);
            counts.computeIfAbsent(job.requestClass, absent -> new int[2])[1]++;
        }
        while (running.size() < slots && !queued.isEmpty()) {
            start(queued.remove());
        }
    }

    private void start(Job job) {
        job.endMillis = nowMillis + Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) * MEAN_SERVICE_MILLIS));
        running.add(job);
    }

    private int poisson(double mean) {
        double product = random.nextDouble();
        int events = 0;
        for (double end = Math.exp(-mean); product > end; events++) {
            product *= random.nextDouble();
        }
        return events;
    }

    private final class Router {
        private final int index;
        private final long delayMillis = 50L + random.nextInt(200);
        private final ArrayDeque<Report> pending = new ArrayDeque<>();
        private final FleetObservationTracker tracker;
        private final ServiceShares shares;
        private int inFlight;
        private int othersInFlight;
        private long othersUntilMillis = Long.MAX_VALUE;

        private Router(int index) {
            this.index = index;
            DemandSource source = new DemandSource();
            this.tracker = new FleetObservationTracker(source);
            this.shares = new ServiceShares(tracker, service -> load(), random.nextLong());
            source.shares = shares;
        }

        private ServiceLoad load() {
            return new ServiceLoad(slots, inFlight + othersInFlight, slots * LIMIT_PER_SLOT);
        }

        private void arrive(RequestClass requestClass) {
            counts.computeIfAbsent(requestClass, absent -> new int[2])[0]++;
            shares.arrived(SERVICE, requestClass, nowMillis);
            ShareDecision decision = shares.decide(SERVICE, requestClass, nowMillis);
            double limit = slots * (decision.extendsQueueLimit() ? LIMIT_PER_SLOT_WITH_SHARES : LIMIT_PER_SLOT);
            if (!decision.admitted() || load().inFlight() >= limit) {
                shares.refused(SERVICE, requestClass, nowMillis);
                wronglyRefused += 2 * running.size() < slots ? 1 : 0;
                return;
            }
            sent++;
            shares.sent(SERVICE, requestClass, nowMillis);
            Job job = new Job(this, requestClass);
            if (running.size() < slots) {
                inFlight++;
                start(job);
            } else if (queued.size() < ENDPOINT_QUEUE * slots / ENDPOINT_SLOTS) {
                inFlight++;
                queued.add(job);
            } else {
                rejections++;
                shares.rejected(SERVICE, nowMillis);
                shares.refused(SERVICE, requestClass, nowMillis);
            }
        }

        private void receive(String peerId, WorkScope scope, FleetObservations observations) {
            boolean possible = DemandCheck.possible(observations.demand());
            tracker.recordPeerReport(
                    peerId, scope, possible ? observations : DemandCheck.withoutDemand(observations), nowMillis);
        }

        private void tick() {
            while (!pending.isEmpty() && pending.peek().atMillis <= nowMillis) {
                Report report = pending.remove();
                othersInFlight = report.inFlight;
                othersUntilMillis = nowMillis + FleetObservationTracker.REPORT_VALID_MILLIS;
                receive("gatherer", WorkScope.OTHERS, report.observations);
            }
            if (nowMillis > othersUntilMillis) {
                othersInFlight = 0;
            }
            if ((nowMillis + index) % ServiceShares.REFRESH_MILLIS == 0) {
                shares.refresh(routers.size(), nowMillis);
            }
        }
    }

    /** The own demand of a router, whose shares are created after its tracker. */
    private static final class DemandSource implements ObservationSource {
        private @Nullable ServiceShares shares;

        @Override
        public FleetObservations observations(long nowMillis) {
            return shares == null ? FleetObservations.NONE : shares.source().observations(nowMillis);
        }
    }

    private static final class Job {
        private final Router router;
        private final RequestClass requestClass;
        private long endMillis;

        private Job(Router router, RequestClass requestClass) {
            this.router = router;
            this.requestClass = requestClass;
        }
    }

    private record Report(long atMillis, int inFlight, FleetObservations observations) {}
}
