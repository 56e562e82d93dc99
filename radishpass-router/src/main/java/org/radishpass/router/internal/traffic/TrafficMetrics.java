package org.radishpass.router.internal.traffic;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.radishpass.core.admission.PriorityClass;
import org.radishpass.core.outcome.Refusal;

/**
 * Publishes counts and durations of requests, by workspace and priority class.
 *
 * @since 0.1.0
 */
public final class TrafficMetrics {
    private static final Duration[] LATENCY_BUCKETS = {
        Duration.ofMillis(10),
        Duration.ofMillis(35),
        Duration.ofMillis(100),
        Duration.ofMillis(300),
        Duration.ofMillis(700),
        Duration.ofMillis(1_700),
        Duration.ofSeconds(5),
        Duration.ofSeconds(30),
    };

    private final MeterRegistry registry;
    private final ConcurrentHashMap<String, Timer> timers = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<String, Counter> counters = new ConcurrentHashMap<>();
    private final AtomicInteger inProgress = new AtomicInteger();

    /**
     * Creates the metrics.
     *
     * @param registry the registry that publishes the metrics
     */
    public TrafficMetrics(MeterRegistry registry) {
        this.registry = registry;
        Gauge.builder("radishpass.requests.in.progress", inProgress, AtomicInteger::get)
                .description("requests that callers are waiting for")
                .register(registry);
    }

    /** Adds a received request to the requests in progress. */
    public void requestStarted() {
        inProgress.incrementAndGet();
    }

    /** Removes a request from the requests in progress, whether it succeeded, failed or was cancelled. */
    public void requestEnded() {
        inProgress.decrementAndGet();
    }

    /** Returns the number of requests in progress. */
    public int inProgress() {
        return inProgress.get();
    }

    /**
     * Counts an attempt to execute a request at an endpoint.
     *
     * @param request the request
     */
    public void attemptStarted(CallerRequest request) {
        counter(
                        "radishpass.attempts",
                        "attempts at endpoints",
                        request.workspace().name(),
                        request.priority().wireName())
                .increment();
    }

    /**
     * Counts a request that ended with a complete response or stream.
     *
     * @param request the request
     */
    public void requestSucceeded(CallerRequest request) {
        counter(
                        "radishpass.answers",
                        "whole answers",
                        request.workspace().name(),
                        request.priority().wireName())
                .increment();
    }

    /**
     * Counts a refusal, by code and verdict.
     *
     * @param refusal the refusal
     */
    public void requestRefused(Refusal refusal) {
        String code = refusal.code().name();
        String verdict = refusal.verdict().name();
        counters.computeIfAbsent(
                        "refusal/" + code + '/' + verdict,
                        key -> Counter.builder("radishpass.refusals")
                                .description("refusals by code and verdict")
                                .tag("code", code)
                                .tag("verdict", verdict)
                                .register(registry))
                .increment();
    }

    /**
     * Records the time to the first token of a streamed response.
     *
     * @param request the request
     * @param nanos the time from the request to its first token, in nanoseconds
     */
    public void firstToken(CallerRequest request, long nanos) {
        timer("radishpass.first.token", "time to the first token", request).record(Duration.ofNanos(nanos));
    }

    /**
     * Records the time between two tokens of a streamed response.
     *
     * @param request the request
     * @param nanos the time between the tokens, in nanoseconds
     */
    public void nextToken(CallerRequest request, long nanos) {
        timer("radishpass.next.token", "time between tokens", request).record(Duration.ofNanos(nanos));
    }

    /**
     * Records the time to a complete response that is not streamed.
     *
     * @param request the request
     * @param nanos the time from the request to its response, in nanoseconds
     */
    public void completeResponse(CallerRequest request, long nanos) {
        timer("radishpass.whole.answer", "time to a whole answer that is not streamed", request)
                .record(Duration.ofNanos(nanos));
    }

    private Counter counter(String name, String description, String workspace, String priority) {
        return counters.computeIfAbsent(
                name + '/' + workspace + '/' + priority,
                key -> Counter.builder(name)
                        .description(description)
                        .tag("workspace", workspace)
                        .tag("class", priority)
                        .register(registry));
    }

    private Timer timer(String name, String description, CallerRequest request) {
        String workspace = request.workspace().name();
        PriorityClass priority = request.priority();
        return timers.computeIfAbsent(
                name + '/' + workspace + '/' + priority,
                key -> Timer.builder(name)
                        .description(description)
                        .tag("workspace", workspace)
                        .tag("class", priority.wireName())
                        .serviceLevelObjectives(LATENCY_BUCKETS)
                        .register(registry));
    }
}
