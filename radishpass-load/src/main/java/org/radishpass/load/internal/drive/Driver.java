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
 * Sends an experiment's schedule to a running fleet, open loop, and lets its events happen.
 *
 * @since 0.1.0
 */
public final class Driver {
    private static final Duration READY_PATIENCE = Duration.ofSeconds(150);
    private static final Duration ASK_PATIENCE = Duration.ofSeconds(5);
    private static final long READY_POLL_MILLIS = 200;
    private static final long TAIL_SECONDS = 70;
    private static final double NANOS = 1_000_000_000;

    private final Experiment experiment;
    private final FleetAddresses fleet;
    private final HttpRuntime runtime;
    private final PrintStream signals;

    /**
     * Creates a driver.
     *
     * @param experiment the experiment
     * @param fleet where its processes answer
     * @param runtime event loops and clients
     * @param signals where signals to processes are announced, for the script that started them
     */
    public Driver(Experiment experiment, FleetAddresses fleet, HttpRuntime runtime, PrintStream signals) {
        this.experiment = experiment;
        this.fleet = fleet;
        this.runtime = runtime;
        this.signals = signals;
    }

    /**
     * Waits until every router serves every model that the experiment asks for.
     *
     * @throws InterruptedException if the wait is broken off
     */
    public void awaitReady() throws InterruptedException {
        long deadline = System.nanoTime() + READY_PATIENCE.toNanos();
        while (!ready()) {
            if (System.nanoTime() - deadline > 0) {
                throw new IllegalStateException("the fleet was not ready within " + READY_PATIENCE);
            }
            Thread.sleep(READY_POLL_MILLIS);
        }
    }

    /**
     * Runs the schedule.
     *
     * @param atFigures runs when the warm-up is over
     * @param atEnd runs when the last request is due, before the tail of answers
     * @return what every caller received
     * @throws InterruptedException if the wait is broken off
     */
    public List<Result> run(Runnable atFigures, Runnable atEnd) throws InterruptedException {
        List<Arrival> arrivals = Schedule.of(experiment);
        Caller caller = new Caller(runtime.client(), fleet.routers(), experiment.cutsAllowed(), experiment.seed());
        List<Result> results = Collections.synchronizedList(new ArrayList<>());
        CountDownLatch open = new CountDownLatch(arrivals.size() + 1);
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
        long start = System.nanoTime();
        for (Arrival arrival : arrivals) {
            long due = start + arrival.atNanos();
            at(
                    timer,
                    due,
                    () -> caller.send(arrival, due)
                            .doFinally(signal -> open.countDown())
                            .subscribe(results::add));
        }
        for (TimedEvent event : experiment.timedEvents()) {
            at(timer, start + (long) (event.at() * NANOS), () -> happen(event));
        }
        at(timer, start + (long) (experiment.warmupSeconds() * NANOS), atFigures);
        double end = experiment.warmupSeconds() + (double) experiment.seconds();
        at(timer, start + (long) (end * NANOS), () -> {
            atEnd.run();
            open.countDown();
        });
        boolean all = open.await((long) end + TAIL_SECONDS, TimeUnit.SECONDS);
        timer.shutdownNow();
        if (!all) {
            signals.println("# " + open.getCount() + " requests got no answer in time");
        }
        return List.copyOf(results);
    }

    /**
     * Asks a process for JSON.
     *
     * @param address the address
     */
    public JsonNode ask(String address) {
        return runtime.client()
                .get()
                .uri(address)
                .responseSingle((response, content) -> content.asByteArray())
                .map(HttpJson::parse)
                .blockOptional(ASK_PATIENCE)
                .orElseThrow();
    }

    /**
     * Sends JSON to the stand-ins.
     *
     * @param path the path
     * @param body the JSON
     */
    public void put(String path, Object body) {
        runtime.client()
                .put()
                .uri(fleet.faults() + path)
                .send((request, outbound) -> outbound.sendByteArray(Mono.just(HttpJson.bytes(body))))
                .response()
                .block(ASK_PATIENCE);
    }

    private static void at(ScheduledExecutorService timer, long nanos, Runnable task) {
        var scheduled = timer.schedule(task, nanos - System.nanoTime(), TimeUnit.NANOSECONDS);
        if (scheduled.isCancelled()) {
            throw new IllegalStateException("the timer is closed");
        }
    }

    private void happen(TimedEvent event) {
        if (event.signal() != null) {
            signals.println(event.signal() + ' ' + event.process());
            signals.flush();
        }
        if (event.put() != null) {
            put(event.put(), event.body() == null ? Map.of() : event.body());
        }
    }

    private boolean ready() {
        return fleet.routers().stream().allMatch(this::ready);
    }

    private boolean ready(String router) {
        try {
            JsonNode status = ask(router + "/v1/status");
            if (!status.path("ready").asBoolean() || status.path("revision").asLong() == 0) {
                return false;
            }
            int open = 0;
            for (JsonNode endpoint : status.path("endpoints")) {
                boolean serving = "READY".equals(endpoint.path("state").asText())
                        && !endpoint.path("pools").isEmpty();
                open += serving ? 1 : 0;
            }
            return open == status.path("endpoints").size()
                    && status.path("routers").size() == fleet.routers().size();
        } catch (RuntimeException e) {
            return false;
        }
    }
}
