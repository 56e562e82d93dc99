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
 * Counts and times requests, by workspace and class.
 *
 * @since 0.1.0
 */
public final class TrafficMetrics {
    private static final Duration[] BUCKETS = {
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
     * @param registry where they are kept
     */
    public TrafficMetrics(MeterRegistry registry) {
        this.registry = registry;
        Gauge.builder("radishpass.requests.in.progress", inProgress, AtomicInteger::get)
                .description("requests that callers are waiting for")
                .register(registry);
    }

    /** Counts a request that came in. */
    public void started() {
        inProgress.incrementAndGet();
    }

    /** Counts a request that has ended, in whatever way. */
    public void ended() {
        inProgress.decrementAndGet();
    }

    /** Returns the requests in progress. */
    public int inProgress() {
        return inProgress.get();
    }

    /**
     * Counts an attempt at an endpoint.
     *
     * @param request the request
     */
    public void attempt(CallerRequest request) {
        counter(
                        "radishpass.attempts",
                        "attempts at endpoints",
                        request.workspace().name(),
                        request.priority().wireName())
                .increment();
    }

    /**
     * Counts a whole answer.
     *
     * @param request the request
     */
    public void answered(CallerRequest request) {
        counter(
                        "radishpass.answers",
                        "whole answers",
                        request.workspace().name(),
                        request.priority().wireName())
                .increment();
    }

    /**
     * Counts a refusal.
     *
     * @param refusal the refusal
     */
    public void refused(Refusal refusal) {
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
     * Times the first token.
     *
     * @param request the request
     * @param nanos from the request to its first token
     */
    public void firstToken(CallerRequest request, long nanos) {
        timer("radishpass.first.token", "time to the first token", request).record(Duration.ofNanos(nanos));
    }

    /**
     * Times a gap between tokens.
     *
     * @param request the request
     * @param nanos from a token to the next
     */
    public void nextToken(CallerRequest request, long nanos) {
        timer("radishpass.next.token", "time between tokens", request).record(Duration.ofNanos(nanos));
    }

    /**
     * Times a whole answer.
     *
     * @param request the request
     * @param nanos from the request to its answer
     */
    public void wholeAnswer(CallerRequest request, long nanos) {
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
                        .serviceLevelObjectives(BUCKETS)
                        .register(registry));
    }
}
