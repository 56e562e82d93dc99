package org.radishpass.routing.traffic;

import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.config.Route;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.health.ResponseTimes;

/**
 * Measures the time until the response to one attempt starts. Each measurement updates the usual response time of the
 * route and the health of the endpoint: a slow endpoint is detected when its response is overdue, not only when the
 * response ends.
 */
final class ResponseTimer {
    /**
     * Largest delay of a timer in milliseconds for which its task still runs. A longer delay means that this process
     * itself was paused, and the response may have arrived during the pause.
     */
    private static final long MAX_TIMER_DELAY_MILLIS = 50;

    private final TrafficContext context;
    private final ServiceEndpoint endpoint;
    private final Route route;
    private final Runnable retryElsewhere;
    private long sentAtMillis;
    private boolean slow;
    private @Nullable Future<?> slowTimer;
    private @Nullable Future<?> retryTimer;

    /**
     * Creates a timer that is not running.
     *
     * @param context the shared state of the traffic event loop
     * @param endpoint the endpoint that the request is sent to
     * @param route the route whose response times are measured
     * @param retryElsewhere called when the request should be retried at another endpoint
     */
    ResponseTimer(TrafficContext context, ServiceEndpoint endpoint, Route route, Runnable retryElsewhere) {
        this.context = context;
        this.endpoint = endpoint;
        this.route = route;
        this.retryElsewhere = retryElsewhere;
    }

    /**
     * Starts the timers. Called when the request has been sent.
     *
     * @param receivedAtMillis when the request was received, on the monotonic clock in milliseconds; the latency target
     *     of the route counts from then
     */
    void start(long receivedAtMillis) {
        sentAtMillis = context.nowMillis();
        slowTimer = schedule(context.responseTimes().slowThresholdMillis(route.name()), this::recordSlow);
        long retryAfterMillis = context.responseTimes().secondAttemptMillis(route.name(), route.targetLatencyMillis());
        if (retryAfterMillis != ResponseTimes.UNKNOWN) {
            retryTimer = schedule(retryAfterMillis - (sentAtMillis - receivedAtMillis), retryElsewhere);
        }
    }

    private @Nullable Future<?> schedule(long millis, Runnable task) {
        if (millis == ResponseTimes.UNKNOWN) {
            return null;
        }
        long dueAtMillis = context.nowMillis() + millis;
        return context.loop()
                .schedule(
                        () -> {
                            if (context.nowMillis() - dueAtMillis <= MAX_TIMER_DELAY_MILLIS) {
                                task.run();
                            }
                        },
                        millis,
                        TimeUnit.MILLISECONDS);
    }

    /** Records the response time. Called when a successful response starts. */
    void responseStarted() {
        stop();
        context.responseTimes().record(route.name(), (double) (context.nowMillis() - sentAtMillis));
        if (!slow) {
            context.health().of(endpoint.id(), context.nowMillis()).respondedInTime();
        }
    }

    /** Cancels the timers. */
    void stop() {
        cancel(slowTimer);
        cancel(retryTimer);
    }

    private static void cancel(@Nullable Future<?> timer) {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void recordSlow() {
        slow = true;
        if (context.placer().othersHaveCapacity(endpoint)
                && context.health().of(endpoint.id(), context.nowMillis()).respondedSlowly(context.nowMillis())) {
            context.requestLog().endpointSlow(endpoint, context.responseTimes().slowThresholdMillis(route.name()));
        }
    }
}
