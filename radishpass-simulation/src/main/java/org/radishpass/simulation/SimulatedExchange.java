package org.radishpass.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.dialect.PromptDescription;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.health.ResponseTimes;
import org.radishpass.routing.load.QueueLimit;
import org.radishpass.routing.load.SpareCapacity;
import org.radishpass.routing.placement.PlacementChoice;
import org.radishpass.routing.placement.PlacementQuery;

/**
 * Handles one request at a simulated router, from its arrival to its answer, refusal or deadline. Decisions are made at
 * the same points as in the production router. Connections, bytes and the verdict that a caller receives are not
 * modelled.
 */
final class SimulatedExchange {
    /**
     * Milliseconds after sending a request at which the router tests whether a silent endpoint still accepts
     * connections: the silence that the production router tolerates, plus half the interval of its checks.
     */
    private static final double CONNECTION_CHECK_MILLIS = 450;

    /**
     * Milliseconds within which an endpoint must have sent something to be chosen for a later attempt at a request, as
     * in the production router.
     */
    private static final long RETRY_HEARD_WITHIN_MILLIS = 150;

    /**
     * Milliseconds since an endpoint last sent something up to which an idle connection is reused, as in the production
     * router.
     */
    private static final long REUSE_HEARD_WITHIN_MILLIS = 1_000;

    /** The number of rejections up to which a request is sent to another endpoint, as in the production router. */
    private static final int MAX_REJECTIONS = 3;

    private final SimulatedRouter router;
    private final Timeline timeline;
    private final SimulatedRequest request;
    private final Report report;
    private final List<String> triedEndpointIds = new ArrayList<>();
    private final double startedAtMillis;
    private @Nullable Attempt attempt;
    private int sends;
    private int rejections;
    private double firstByteMillis;
    private boolean completed;

    SimulatedExchange(SimulatedRouter router, SimulatedRequest request, Report report) {
        this.router = router;
        this.timeline = router.timeline();
        this.request = request;
        this.report = report;
        this.startedAtMillis = timeline.exactNowMillis();
    }

    void start() {
        router.retryBudget().requested(requestClass().service(), timeline.nowMillis());
        timeline.schedule(requestClass().deadlineMillis(), this::deadlinePassed);
        attempt();
    }

    private RequestClass requestClass() {
        return request.requestClass();
    }

    private void attempt() {
        Optional<PlacementChoice> choice = choosePlacement(triedEndpointIds);
        if (choice.isEmpty() || isFull(choice.get())) {
            completed = true;
            report.refused(requestClass(), startedAtMillis);
            return;
        }
        attempt(choice.get());
    }

    private void attempt(PlacementChoice choice) {
        attempt = new Attempt(choice);
        attempt.connect();
    }

    private Optional<PlacementChoice> choosePlacement(List<String> excludedIds) {
        long now = timeline.nowMillis();
        String service = requestClass().service();
        List<ServiceEndpoint> candidates =
                new ArrayList<>(router.healthTracker().usable(router.acceptingEndpoints(service), now));
        candidates.removeIf(endpoint -> excludedIds.contains(endpoint.id()));
        if (sends > 0) {
            candidates = router.healthTracker().recentlyActive(candidates, RETRY_HEARD_WITHIN_MILLIS, now);
        }
        Optional<PromptDescription> prompt = request.promptDescription();
        return router.chooser()
                .choose(new PlacementQuery(
                        candidates,
                        candidates,
                        router.healthTracker().reachable(router.fleet().endpoints(service), now),
                        prompt,
                        request.hash(),
                        router.routerCount(),
                        now));
    }

    private boolean isFull(PlacementChoice choice) {
        QueueLimit limit = request.promptDescription().isPresent() ? QueueLimit.ENGINE : QueueLimit.PLAIN;
        return choice.load() >= limit.requests(choice.endpoint().slots());
    }

    private boolean takeRetry() {
        return sends - rejections < requestClass().attempts()
                && requestClass().kind().retryableAfterRun()
                && router.retryBudget()
                        .trySpend(requestClass().service(), timeline.nowMillis())
                        .granted();
    }

    private void deadlinePassed() {
        if (!completed) {
            completed = true;
            stopAttempt();
            report.failed(requestClass(), startedAtMillis);
        }
    }

    private void stopAttempt() {
        Attempt current = attempt;
        attempt = null;
        if (current != null) {
            triedEndpointIds.add(current.endpoint.id());
            current.stop();
        }
    }

    /** One attempt to have the request answered by one endpoint. */
    private final class Attempt implements Run.Listener {
        private final ServiceEndpoint endpoint;
        private final Run run;
        private double sentAtMillis;
        private boolean answerStarted;
        private boolean overdue;
        private boolean isBackoffTest;
        private boolean ended;

        private Attempt(PlacementChoice choice) {
            this.endpoint = choice.endpoint();
            SimulatedEngine holder = choice.holder()
                    .map(router.fleet()::simulatedEndpoint)
                    .filter(SimulatedEngine.class::isInstance)
                    .map(SimulatedEngine.class::cast)
                    .orElse(null);
            this.run = request.run(holder, this);
            router.workInFlight().started(endpoint.id(), run.memoryTokens());
        }

        private void connect() {
            long millisSinceHeard =
                    timeline.nowMillis() - router.health(endpoint).bytesReceivedAtMillis();
            if (millisSinceHeard <= REUSE_HEARD_WITHIN_MILLIS
                    && requestClass().kind().retryableAfterRun()
                    && sends == 0) {
                send();
            } else {
                router.connect(endpoint, this::send, this::connectFailed);
            }
        }

        private void send() {
            if (ended) {
                return;
            }
            sends++;
            isBackoffTest = router.backoffs().sent(endpoint.id());
            sentAtMillis = timeline.exactNowMillis();
            request.promptDescription()
                    .ifPresent(prompt -> router.chooser().sent(prompt, endpoint, timeline.nowMillis()));
            timeline.schedule(SimulatedRouter.NETWORK_DELAY_MILLIS, this::arriveAtEndpoint);
            timeline.schedule(CONNECTION_CHECK_MILLIS, this::checkConnection);
            String name = requestClass().name();
            scheduleIfKnown(router.responseTimes().slowThresholdMillis(name), this::markOverdue);
            scheduleIfKnown(
                    router.responseTimes()
                            .secondAttemptMillis(name, Math.round(requestClass().latencyTargetMillis())),
                    this::trySecondEndpoint);
        }

        private void arriveAtEndpoint() {
            SimulatedEndpoint simulated = router.fleet().simulatedEndpoint(endpoint);
            report.reached(startedAtMillis, simulated.load(), router.fleet().meanLoad(endpoint.service()));
            simulated.submit(run);
        }

        private void scheduleIfKnown(long millis, Runnable task) {
            if (millis != ResponseTimes.UNKNOWN) {
                timeline.schedule((double) millis, task);
            }
        }

        private void markOverdue() {
            if (!answerStarted && !ended) {
                overdue = true;
                if (router.applies(Policy.SLOW_LEFT_OUT) && othersHaveRoom()) {
                    router.health(endpoint).respondedSlowly(timeline.nowMillis());
                }
            }
        }

        private void trySecondEndpoint() {
            if (answerStarted
                    || ended
                    || !router.applies(Policy.SECOND_TRIES)
                    || !requestClass().kind().retryableAfterRun()) {
                return;
            }
            if (!othersHaveRoom()) {
                return;
            }
            List<String> excludedIds = new ArrayList<>(triedEndpointIds);
            excludedIds.add(endpoint.id());
            Optional<PlacementChoice> other = choosePlacement(excludedIds);
            if (other.isPresent() && !isFull(other.get()) && takeRetry()) {
                report.secondTry();
                stopAttempt();
                SimulatedExchange.this.attempt(other.get());
            }
        }

        private boolean othersHaveRoom() {
            long now = timeline.nowMillis();
            List<ServiceEndpoint> accepting =
                    router.acceptingEndpoints(requestClass().service());
            List<ServiceEndpoint> others =
                    new ArrayList<>(router.healthTracker().usable(accepting, now));
            others.removeIf(other -> other.id().equals(endpoint.id()));
            return !router.healthTracker().mostlyUnhealthy(accepting, now)
                    && SpareCapacity.existsAt(others, router.workInFlight());
        }

        private void checkConnection() {
            if (!answerStarted
                    && !ended
                    && router.fleet().simulatedEndpoint(endpoint).isSilent()) {
                timeline.schedule(SimulatedRouter.CONNECT_TIMEOUT_MILLIS, this::connectionCheckFailed);
            }
        }

        private void connectionCheckFailed() {
            if (ended || answerStarted) {
                return;
            }
            router.health(endpoint).unreachable(timeline.nowMillis());
            if (takeRetry()) {
                report.secondTry();
                stopAttempt();
                SimulatedExchange.this.attempt();
            }
        }

        private void connectFailed() {
            router.health(endpoint).unreachable(timeline.nowMillis());
            if (!ended && !completed) {
                stopAttempt();
                SimulatedExchange.this.attempt();
            }
        }

        private void stop() {
            run.cancel();
            finish();
        }

        private void finish() {
            if (!ended) {
                ended = true;
                reportBackoffTest(false);
                router.workInFlight().ended(endpoint.id(), run.memoryTokens());
            }
        }

        private void reportBackoffTest(boolean accepted) {
            if (isBackoffTest) {
                isBackoffTest = false;
                router.backoffs().answered(endpoint.id(), accepted, timeline.nowMillis());
            }
        }

        @Override
        public void answerBegan() {
            if (ended) {
                return;
            }
            answerStarted = true;
            reportBackoffTest(true);
            router.health(endpoint).bytesReceived(timeline.nowMillis());
            router.responseTimes().record(requestClass().name(), timeline.exactNowMillis() - sentAtMillis);
            if (!overdue) {
                router.health(endpoint).respondedInTime();
            }
            firstByteMillis = timeline.exactNowMillis() - startedAtMillis;
        }

        @Override
        public void answerEnded() {
            if (ended) {
                return;
            }
            router.health(endpoint).bytesReceived(timeline.nowMillis());
            finish();
            completed = true;
            report.answered(requestClass(), startedAtMillis, firstByteMillis);
        }

        @Override
        public void rejected(long backoffMillis) {
            if (ended) {
                return;
            }
            report.rejected();
            if (backoffMillis > 0) {
                router.rejected(endpoint, backoffMillis);
            }
            stopAttempt();
            rejections++;
            if (sends - rejections < requestClass().attempts()
                    && rejections <= MAX_REJECTIONS
                    && router.retryBudget()
                            .trySpend(requestClass().service(), timeline.nowMillis())
                            .granted()) {
                SimulatedExchange.this.attempt();
            } else {
                completed = true;
                report.refused(requestClass(), startedAtMillis);
            }
        }
    }
}
