package org.radishpass.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.commons.math3.distribution.ExponentialDistribution;
import org.apache.commons.math3.distribution.LogNormalDistribution;
import org.apache.commons.math3.distribution.ZipfDistribution;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * Simulates a deployment in virtual time. All random numbers come from one seed, and the same seed gives the same
 * arrivals of requests with every set of policies.
 */
final class Simulation {
    /**
     * The exponent of the Zipf distribution of subjects. With 50 subjects, the most frequent subject is asked about
     * three times as often as the least frequent.
     */
    private static final double SUBJECT_ZIPF_EXPONENT = 0.3;

    /** The standard deviation of the logarithm of answer lengths and processing times, which are log-normal. */
    private static final double LOG_STANDARD_DEVIATION = 0.5;

    /**
     * Milliseconds from the moment when a replacement joins until the old endpoint is removed. The old endpoint takes
     * no new requests in the second half of this time.
     */
    private static final double REPLACEMENT_MILLIS = 2_000;

    private final Deployment deployment;
    private final Timeline timeline = new Timeline();
    private final Fleet fleet = new Fleet();
    private final RandomGenerator random;
    private final RandomGenerator faultRandom;
    private final List<SimulatedRouter> routers = new ArrayList<>();
    private final CacheCounts cacheCounts = new CacheCounts();
    private final Set<Long> everReadParts = new HashSet<>();
    private final Map<String, Double> rateFactors = new HashMap<>();
    private final Report report;
    private long requestCount;

    private Simulation(Deployment deployment, Set<Policy> policies, long seed, double fromMillis, double untilMillis) {
        this.deployment = deployment;
        this.random = new Well19937c(seed);
        this.faultRandom = new Well19937c(~seed);
        this.report = new Report(fromMillis, untilMillis, cacheCounts);
        deployment.enginePools().forEach(this::addEngines);
        deployment.plainPools().forEach(this::addPlainEndpoints);
        for (int index = 0; index < deployment.routers(); index++) {
            routers.add(new SimulatedRouter(
                    timeline, fleet, policies, "r" + index, deployment.routers(), deployment.retryAllowance()));
        }
    }

    /**
     * Simulates a deployment and reports on its requests.
     *
     * @param deployment the deployment to simulate
     * @param policies the policies that the routers apply
     * @param seed the seed of all random numbers
     * @param fromMillis the virtual time from which requests are counted, in milliseconds
     * @param untilMillis the virtual time until which requests arrive, in milliseconds
     */
    static Report run(Deployment deployment, Set<Policy> policies, long seed, double fromMillis, double untilMillis) {
        Simulation simulation = new Simulation(deployment, policies, seed, fromMillis, untilMillis);
        simulation.runToEnd(untilMillis);
        return simulation.report;
    }

    private void runToEnd(double untilMillis) {
        for (int index = 0; index < routers.size(); index++) {
            routers.get(index).start(routers, SimulatedRouter.PEER_MESSAGE_INTERVAL_MILLIS * index / routers.size());
        }
        deployment.requestClasses().forEach(requestClass -> scheduleNextArrival(requestClass, untilMillis));
        deployment
                .faults()
                .forEach(fault ->
                        timeline.schedule(fault.atMillis(), () -> fault.type().apply(this, fault)));
        double longestDeadlineMillis = deployment.requestClasses().stream()
                .mapToDouble(RequestClass::deadlineMillis)
                .max()
                .orElse(0);
        timeline.runUntil(untilMillis + longestDeadlineMillis);
    }

    private void addEngines(Deployment.EnginePool pool) {
        for (int index = 0; index < pool.count(); index++) {
            fleet.add(
                    pool.service(),
                    pool.settings().slots(),
                    new SimulatedEngine(timeline, pool.settings(), cacheCounts, everReadParts));
        }
    }

    private void addPlainEndpoints(Deployment.PlainPool pool) {
        for (int index = 0; index < pool.count(); index++) {
            fleet.add(pool.service(), pool.slots(), new SimulatedPlainEndpoint(timeline, pool.slots(), pool.queue()));
        }
    }

    private void scheduleNextArrival(RequestClass requestClass, double untilMillis) {
        double rate = requestClass.perSecond() * rateFactors.getOrDefault(requestClass.name(), 1.0);
        double gapMillis = new ExponentialDistribution(random, 1_000 / rate).sample();
        timeline.schedule(gapMillis, () -> {
            if (timeline.exactNowMillis() < untilMillis) {
                startRequest(requestClass);
                scheduleNextArrival(requestClass, untilMillis);
            }
        });
    }

    private void startRequest(RequestClass requestClass) {
        int subject = new ZipfDistribution(random, requestClass.subjects(), SUBJECT_ZIPF_EXPONENT).sample();
        double workFactor = new LogNormalDistribution(
                        random, -LOG_STANDARD_DEVIATION * LOG_STANDARD_DEVIATION / 2, LOG_STANDARD_DEVIATION)
                .sample();
        int outputTokens = requestClass.outputTokens() == 0
                ? 0
                : (int) Math.max(1, Math.round(requestClass.outputTokens() * workFactor));
        SimulatedRequest request = new SimulatedRequest(
                requestClass, requestCount++, subject, outputTokens, requestClass.workMillis() * workFactor);
        new SimulatedExchange(routers.get(random.nextInt(routers.size())), request, report).start();
    }

    /** Injects a fault into randomly drawn endpoints of the target service, and reverts it when the fault is over. */
    void applyToDrawnEndpoints(Fault fault, Consumer<SimulatedEndpoint> inject, Consumer<SimulatedEndpoint> revert) {
        List<SimulatedEndpoint> affected =
                drawEndpoints(fault).stream().map(fleet::simulatedEndpoint).toList();
        affected.forEach(inject);
        timeline.schedule(fault.forMillis(), () -> affected.forEach(revert));
    }

    /** Multiplies the arrival rate of a request class for a number of milliseconds of virtual time. */
    void multiplyRate(String requestClass, double factor, double forMillis) {
        rateFactors.put(requestClass, factor);
        timeline.schedule(forMillis, () -> rateFactors.remove(requestClass));
    }

    /** Replaces randomly drawn endpoints of the fault's target service one after the other. */
    void replace(Fault fault) {
        double delayMillis = 0;
        for (ServiceEndpoint old : drawEndpoints(fault)) {
            timeline.schedule(delayMillis, () -> replace(old));
            delayMillis += fault.forMillis();
        }
    }

    private void replace(ServiceEndpoint old) {
        deployment.enginePools().stream()
                .filter(pool -> pool.service().equals(old.service()))
                .forEach(pool -> fleet.add(
                        pool.service(),
                        pool.settings().slots(),
                        new SimulatedEngine(timeline, pool.settings(), cacheCounts, everReadParts)));
        timeline.schedule(REPLACEMENT_MILLIS / 2, () -> fleet.markLeaving(old));
        timeline.schedule(REPLACEMENT_MILLIS, () -> fleet.remove(old));
    }

    private List<ServiceEndpoint> drawEndpoints(Fault fault) {
        List<ServiceEndpoint> remaining = new ArrayList<>(fleet.acceptingEndpoints(fault.target()));
        int count = (int) Math.ceil(remaining.size() * fault.share());
        List<ServiceEndpoint> drawn = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            drawn.add(remaining.remove(faultRandom.nextInt(remaining.size())));
        }
        return drawn;
    }
}
