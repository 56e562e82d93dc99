package org.radishpass.load.internal.drive;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.radishpass.load.internal.experiment.Experiment;
import org.radishpass.load.internal.experiment.TimedEvent;
import org.radishpass.runtime.http.HttpJson;
import org.radishpass.runtime.http.HttpRuntime;
import reactor.core.publisher.Mono;

/**
 * Sends an experiment's scheduled requests to a running fleet (open loop) and triggers the experiment's events.
 *
 * @since 0.1.0
 */
public final class Driver {
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(150);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
    private static final long READY_POLL_INTERVAL_MILLIS = 200;
    private static final long COMPLETION_TIMEOUT_SECONDS = 70;
    private static final double NANOS_PER_SECOND = 1_000_000_000;

    private final Experiment experiment;
    private final FleetAddresses fleet;
    private final HttpRuntime runtime;
    private final PrintStream signalOutput;

    /**
     * Creates a driver.
     *
     * @param experiment the experiment
     * @param fleet the addresses of the experiment's processes
     * @param runtime the event loops and HTTP clients
     * @param signalOutput the output on which the script that started the processes reads the signals to send
     */
    public Driver(Experiment experiment, FleetAddresses fleet, HttpRuntime runtime, PrintStream signalOutput) {
        this.experiment = experiment;
        this.fleet = fleet;
        this.runtime = runtime;
        this.signalOutput = signalOutput;
    }

    /**
     * Waits until every router is ready, has a configuration, knows all routers and lists only ready endpoints with
     * pools.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitReady() throws InterruptedException {
        long deadline = System.nanoTime() + READY_TIMEOUT.toNanos();
        while (!isReady()) {
            if (System.nanoTime() - deadline > 0) {
                throw new IllegalStateException("the fleet was not ready within " + READY_TIMEOUT);
            }
            Thread.sleep(READY_POLL_INTERVAL_MILLIS);
        }
    }

    /**
     * Sends all requests and triggers all events at their times, then waits for the outstanding results.
     *
     * @param atWarmupEnd runs when the warm-up is over
     * @param atLoadEnd runs when load ends, before outstanding requests are complete
     * @return the results of all requests that completed in time
     * @throws InterruptedException if the thread is interrupted
     */
    public List<RequestResult> run(Runnable atWarmupEnd, Runnable atLoadEnd) throws InterruptedException {
        List<Arrival> arrivals = Schedule.of(experiment);
        Caller caller = new Caller(runtime.client(), fleet.routers(), experiment.cutsAllowed(), experiment.seed());
        List<RequestResult> results = Collections.synchronizedList(new ArrayList<>());
        CountDownLatch outstanding = new CountDownLatch(arrivals.size() + 1);
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
        long start = System.nanoTime();
        for (Arrival arrival : arrivals) {
            long dueNanos = start + arrival.atNanos();
            scheduleAt(
                    timer,
                    dueNanos,
                    () -> caller.send(arrival, dueNanos)
                            .doFinally(signal -> outstanding.countDown())
                            .subscribe(results::add));
        }
        for (TimedEvent event : experiment.timedEvents()) {
            scheduleAt(timer, start + (long) (event.at() * NANOS_PER_SECOND), () -> trigger(event));
        }
        scheduleAt(timer, start + (long) (experiment.warmupSeconds() * NANOS_PER_SECOND), atWarmupEnd);
        double end = experiment.warmupSeconds() + (double) experiment.seconds();
        scheduleAt(timer, start + (long) (end * NANOS_PER_SECOND), () -> {
            atLoadEnd.run();
            outstanding.countDown();
        });
        boolean completed = outstanding.await((long) end + COMPLETION_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        timer.shutdownNow();
        if (!completed) {
            signalOutput.println("# " + outstanding.getCount() + " requests got no answer in time");
        }
        return List.copyOf(results);
    }

    /**
     * Sends a GET request and returns the JSON of the response.
     *
     * @param address the URL
     */
    public JsonNode getJson(String address) {
        return runtime.client()
                .get()
                .uri(address)
                .responseSingle((response, content) -> content.asByteArray())
                .map(HttpJson::parse)
                .blockOptional(REQUEST_TIMEOUT)
                .orElseThrow();
    }

    /**
     * Sends JSON to the stand-ins' fault server with a PUT request.
     *
     * @param path the path on the fault server
     * @param body the value to send as JSON
     */
    public void putJson(String path, Object body) {
        runtime.client()
                .put()
                .uri(fleet.faultServer() + path)
                .send((request, outbound) -> outbound.sendByteArray(Mono.just(HttpJson.serialize(body))))
                .response()
                .block(REQUEST_TIMEOUT);
    }

    private static void scheduleAt(ScheduledExecutorService timer, long dueNanos, Runnable task) {
        var scheduled = timer.schedule(task, dueNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
        if (scheduled.isCancelled()) {
            throw new IllegalStateException("the timer is closed");
        }
    }

    private void trigger(TimedEvent event) {
        if (event.signal() != null) {
            signalOutput.println(event.signal() + ' ' + event.process());
            signalOutput.flush();
        }
        if (event.put() != null) {
            putJson(event.put(), event.body() == null ? Map.of() : event.body());
        }
    }

    private boolean isReady() {
        return fleet.routers().stream().allMatch(this::isReady);
    }

    private boolean isReady(String router) {
        try {
            JsonNode status = getJson(router + "/v1/status");
            if (!status.path("ready").asBoolean() || status.path("revision").asLong() == 0) {
                return false;
            }
            int servingCount = 0;
            for (JsonNode endpoint : status.path("endpoints")) {
                boolean serving = "READY".equals(endpoint.path("state").asText())
                        && !endpoint.path("pools").isEmpty();
                servingCount += serving ? 1 : 0;
            }
            return servingCount == status.path("endpoints").size()
                    && status.path("routers").size() == fleet.routers().size();
        } catch (RuntimeException e) {
            return false;
        }
    }
}
