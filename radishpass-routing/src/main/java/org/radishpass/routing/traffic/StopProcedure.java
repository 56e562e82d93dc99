package org.radishpass.routing.traffic;

import java.util.ArrayList;
import java.util.function.IntConsumer;

/** Carries out the steps of a stop that {@link GracefulStop} decides on. Confined to the traffic event loop. */
final class StopProcedure {
    private final TrafficContext context;
    private final Runnable stopListening;
    private int endedRequests;
    private boolean stopped;

    /**
     * Creates a procedure of which no step has been carried out.
     *
     * @param context the shared state of the traffic event loop
     * @param stopListening closes the sockets on which the router listens
     */
    StopProcedure(TrafficContext context, Runnable stopListening) {
        this.context = context;
        this.stopListening = stopListening;
    }

    /**
     * Carries out the steps that are due.
     *
     * @param whenStopped called once, with the number of requests that had to be ended
     */
    void advance(IntConsumer whenStopped) {
        GracefulStop.Phase due = context.gracefulStop().advance(active());
        if (stopped || due.takesRequests()) {
            return;
        }
        close();
        if (due == GracefulStop.Phase.ENDED) {
            endRequests();
            stopWhenFlushed(whenStopped);
        }
    }

    private void stopWhenFlushed(IntConsumer whenStopped) {
        if (flushed() || !context.gracefulStop().awaitsFlush()) {
            stopped = true;
            closeConnections();
            whenStopped.accept(endedRequests);
        }
    }

    private boolean active() {
        return !context.exchanges().isEmpty() || !flushed();
    }

    private boolean flushed() {
        return context.callers().stream().allMatch(CallerConnection::flushed);
    }

    /** Stops to listen, and refuses the requests that wait. */
    private void close() {
        stopListening.run();
        context.heldArrivals().releaseAll();
        context.arrivalQueue().resolveAll();
    }

    private void endRequests() {
        endedRequests += context.exchanges().size();
        new ArrayList<>(context.exchanges()).forEach(Exchange::endForStop);
    }

    private void closeConnections() {
        new ArrayList<>(context.callers()).forEach(CallerConnection::close);
    }
}
