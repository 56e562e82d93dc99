package org.radishpass.routing.control;

import static net.logstash.logback.argument.StructuredArguments.kv;

import io.netty.channel.Channel;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.traffic.CallerSocket;
import org.radishpass.routing.traffic.TrafficServer;
import org.radishpass.runtime.thread.ControlThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Orders the steps of a start. Waiting callers are served as soon as a configuration and the endpoints are known. Other
 * work that needs processor time comes later. State is confined to the control thread.
 */
final class StartSequence {
    private static final Logger LOG = LoggerFactory.getLogger(StartSequence.class);

    /**
     * How long callers wait at the start for a configuration and the endpoints. After that they are told that the
     * router is not ready. A caller allows one second for its request to be read.
     */
    private static final Duration MAX_SERVE_DELAY = Duration.ofMillis(800);

    /**
     * Delay between serving callers and joining the peers. The first requests after a start run code for the first
     * time, and exchanging introductions with six peers meanwhile delayed these requests by 0.2 s on 0.75 cores.
     */
    private static final Duration JOIN_DELAY_AFTER_SERVING = Duration.ofMillis(300);

    /**
     * Delay after the start at which the peers are joined at the latest. They may know what the store does not report.
     */
    private static final Duration MAX_JOIN_DELAY = Duration.ofMillis(400);

    private final ControlThread thread;
    private final TrafficServer traffic;
    private final CountDownLatch serving = new CountDownLatch(1);
    private @Nullable CallerSocket pendingCallers;
    private @Nullable Runnable pendingJoin;

    StartSequence(ControlThread thread, TrafficServer traffic) {
        this.thread = thread;
        this.traffic = traffic;
    }

    /**
     * Begins the start.
     *
     * @param callers the socket for requests of callers
     * @param joinPeers joins the peers; called once, on the control thread
     */
    void begin(CallerSocket callers, Runnable joinPeers) {
        thread.run(() -> {
            pendingCallers = callers;
            pendingJoin = joinPeers;
        });
        thread.scheduleAfter(MAX_SERVE_DELAY, this::serve);
        thread.scheduleAfter(MAX_JOIN_DELAY, this::join);
    }

    /** Serves the callers that have been waiting, unless they are served already. */
    void serve() {
        CallerSocket socket = pendingCallers;
        pendingCallers = null;
        if (socket != null) {
            thread.scheduleAfter(JOIN_DELAY_AFTER_SERVING, this::join);
            var unused = traffic.serve(socket).whenComplete(this::onServing);
        }
    }

    private void onServing(@Nullable Channel channel, @Nullable Throwable error) {
        serving.countDown();
        if (channel != null) {
            LOG.info(
                    "callers are served",
                    LogEvent.SERVING.field(),
                    kv("address", String.valueOf(channel.localAddress())));
        } else {
            LOG.error("the router cannot serve callers", error);
        }
    }

    private void join() {
        Runnable joinTask = pendingJoin;
        pendingJoin = null;
        if (joinTask != null) {
            joinTask.run();
        }
    }

    /**
     * Waits until callers are served, or serving them has failed.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    void awaitServing() throws InterruptedException {
        serving.await();
    }
}
