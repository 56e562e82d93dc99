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
 * The life of one request at a router. It follows the product's exchange in what is decided when; connections, bytes and the
 * verdict are left out.
 */
final class SimulatedExchange {
    /** Milliseconds of silence until a connection is tried, and half the time between two looks, as the product's. */
    private static final double SILENCE_MILLIS = 450;

    /** Milliseconds within which an endpoint must have been heard of to be given a second try, as the product's. */
    private static final long SURELY_ALIVE_MILLIS = 150;

    /** Milliseconds since an endpoint was heard of up to which an idle connection to it is used, as the product's. */
    private static final long LIKELY_MILLIS = 1_000;

    /** Rejections after which a request is refused, as the product's. */
    private static final int MOST_REJECTIONS = 3;

    private final SimulatedRouter router;
    private final Timeline timeline;
    private final SimulatedRequest request;
    private final Report report;
    private final List<String> tried = new ArrayList<>();
    private final double startedAtMillis;
    private @Nullable Attempt attempt;
    private int sends;
    private int rejections;
    private double firstByteMillis;
    private boolean over;

    SimulatedExchange(SimulatedRouter router, SimulatedRequest request, Report report) {
        this.router = router;
        this.timeline = router.timeline();
        this.request = request;
        this.report = report;
        this.startedAtMillis = timeline.exactMillis();
    }

    void start() {
        router.budget().requested(requestClass().service(), timeline.millis());
        timeline.after(requestClass().deadlineMillis(), this::expired);
        attempt();
    }

    private RequestClass requestClass() {
        return request.requestClass();
    }

    private void attempt() {
        Optional<PlacementChoice> choice = place(tried);
        if (choice.isEmpty() || full(choice.get())) {
            over = true;
            report.refused(requestClass(), startedAtMillis);
            return;
        }
        attempt(choice.get());
    }

    private void attempt(PlacementChoice choice) {
        attempt = new Attempt(choice);
        attempt.connect();
    }

    private Optional<PlacementChoice> place(List<String> without) {
        long now = timeline.millis();
        String service = requestClass().service();
        List<ServiceEndpoint> candidates =
                new ArrayList<>(router.healthTracker().usable(router.open(service), now));
        candidates.removeIf(endpoint -> without.contains(endpoint.id()));
        if (sends > 0) {
            candidates = router.healthTracker().recentlyActive(candidates, SURELY_ALIVE_MILLIS, now);
        }
        Optional<PromptDescription> prompt = request.prompt();
        return router.chooser()
                .choose(new PlacementQuery(
                        candidates,
                        candidates,
                        router.healthTracker().reachable(router.fleet().all(service), now),
                        prompt,
                        request.hash(),
                        router.routers(),
                        now));
    }

    private boolean full(PlacementChoice choice) {
        QueueLimit limit = request.prompt().isPresent() ? QueueLimit.ENGINE : QueueLimit.PLAIN;
        return choice.load() >= limit.requests(choice.endpoint().slots());
    }

    private boolean mayRetry() {
        return sends - rejections < requestClass().attempts()
                && requestClass().kind().retryableAfterRun()
                && router.budget().trySpend(requestClass().service(), timeline.millis());
    }

    private void expired() {
        if (!over) {
            over = true;
            stopAttempt();
            report.failed(requestClass(), startedAtMillis);
        }
    }

    private void stopAttempt() {
        Attempt current = attempt;
        attempt = null;
        if (current != null) {
            tried.add(current.endpoint.id());
            current.stop();
        }
    }

    /** One try at one endpoint. */
    private final class Attempt implements Run.Listener {
        private final ServiceEndpoint endpoint;
        private final Run run;
        private double sentAtMillis;
        private boolean began;
        private boolean overdue;
        private boolean tests;
        private boolean ended;

        private Attempt(PlacementChoice choice) {
            this.endpoint = choice.endpoint();
            SimulatedEngine holder = choice.holder()
                    .map(router.fleet()::model)
                    .filter(SimulatedEngine.class::isInstance)
                    .map(SimulatedEngine.class::cast)
                    .orElse(null);
            this.run = request.run(holder, this);
            router.inFlight().started(endpoint.id(), run.memoryTokens());
        }

        private void connect() {
            long heardAgo = timeline.millis() - router.health(endpoint).bytesReceivedAtMillis();
            if (heardAgo <= LIKELY_MILLIS && requestClass().kind().retryableAfterRun() && sends == 0) {
                send();
            } else {
                router.connect(endpoint, this::send, this::unreachable);
            }
        }

        private void send() {
            if (ended) {
                return;
            }
            sends++;
            tests = router.backoffs().sent(endpoint.id());
            sentAtMillis = timeline.exactMillis();
            request.prompt().ifPresent(prompt -> router.chooser().sent(prompt, endpoint, timeline.millis()));
            timeline.after(SimulatedRouter.NETWORK_MILLIS, this::reach);
            timeline.after(SILENCE_MILLIS, this::lookIntoSilence);
            String name = requestClass().name();
            after(router.responseTimes().slowThresholdMillis(name), this::slow);
            after(
                    router.responseTimes()
                            .secondAttemptMillis(name, Math.round(requestClass().latencyTargetMillis())),
                    this::secondTry);
        }

        private void reach() {
            SimulatedEndpoint model = router.fleet().model(endpoint);
            report.reached(startedAtMillis, model.load(), router.fleet().meanLoad(endpoint.service()));
            model.submit(run);
        }

        private void after(long millis, Runnable task) {
            if (millis != ResponseTimes.UNKNOWN) {
                timeline.after((double) millis, task);
            }
        }

        private void slow() {
            if (!began && !ended) {
                overdue = true;
                if (router.does(Policy.SLOW_LEFT_OUT) && othersHaveRoom()) {
                    router.health(endpoint).respondedSlowly(timeline.millis());
                }
            }
        }

        private void secondTry() {
            if (began
                    || ended
                    || !router.does(Policy.SECOND_TRIES)
                    || !requestClass().kind().retryableAfterRun()) {
                return;
            }
            if (!othersHaveRoom()) {
                return;
            }
            List<String> without = new ArrayList<>(tried);
            without.add(endpoint.id());
            Optional<PlacementChoice> other = place(without);
            if (other.isPresent() && !full(other.get()) && mayRetry()) {
                report.triedAgain();
                stopAttempt();
                SimulatedExchange.this.attempt(other.get());
            }
        }

        private boolean othersHaveRoom() {
            long now = timeline.millis();
            List<ServiceEndpoint> open = router.open(requestClass().service());
            List<ServiceEndpoint> others =
                    new ArrayList<>(router.healthTracker().usable(open, now));
            others.removeIf(other -> other.id().equals(endpoint.id()));
            return !router.healthTracker().mostlyUnhealthy(open, now)
                    && SpareCapacity.existsAt(others, router.inFlight());
        }

        private void lookIntoSilence() {
            if (!began && !ended && router.fleet().model(endpoint).isSilent()) {
                timeline.after(SimulatedRouter.CONNECT_MILLIS, this::unreachableLater);
            }
        }

        private void unreachableLater() {
            if (ended || began) {
                return;
            }
            router.health(endpoint).unreachable(timeline.millis());
            if (mayRetry()) {
                report.triedAgain();
                stopAttempt();
                SimulatedExchange.this.attempt();
            }
        }

        private void unreachable() {
            router.health(endpoint).unreachable(timeline.millis());
            if (!ended && !over) {
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
                accepted(false);
                router.inFlight().ended(endpoint.id(), run.memoryTokens());
            }
        }

        private void accepted(boolean taken) {
            if (tests) {
                tests = false;
                router.backoffs().answered(endpoint.id(), taken, timeline.millis());
            }
        }

        @Override
        public void begun() {
            if (ended) {
                return;
            }
            began = true;
            accepted(true);
            router.health(endpoint).bytesReceived(timeline.millis());
            router.responseTimes().record(requestClass().name(), timeline.exactMillis() - sentAtMillis);
            if (!overdue) {
                router.health(endpoint).respondedInTime();
            }
            firstByteMillis = timeline.exactMillis() - startedAtMillis;
        }

        @Override
        public void ended() {
            if (ended) {
                return;
            }
            router.health(endpoint).bytesReceived(timeline.millis());
            finish();
            over = true;
            report.served(requestClass(), startedAtMillis, firstByteMillis);
        }

        @Override
        public void notRun(long backoffMillis) {
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
                    && rejections <= MOST_REJECTIONS
                    && router.budget().trySpend(requestClass().service(), timeline.millis())) {
                SimulatedExchange.this.attempt();
            } else {
                over = true;
                report.refused(requestClass(), startedAtMillis);
            }
        }
    }
}
