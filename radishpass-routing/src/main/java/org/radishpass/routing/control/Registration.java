package org.radishpass.routing.control;

import java.time.Duration;
import java.util.Collection;
import java.util.function.Consumer;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.fleet.StorePosition;
import org.radishpass.runtime.thread.ControlThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Registers this router in the store, where other routers find it. State is confined to the control thread. */
final class Registration {
    private static final Logger LOG = LoggerFactory.getLogger(Registration.class);

    /** Pause before a failed registration is tried again. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(700);

    private final ControlThread thread;
    private final ControlSource source;
    private final FleetRouter self;
    private StorePosition position = StorePosition.NONE;
    private boolean removed;
    private int lastRenewal;

    Registration(ControlThread thread, ControlSource source, FleetRouter self) {
        this.thread = thread;
        this.source = source;
        this.self = self;
    }

    /**
     * Registers this router. Tries again until the store accepts the registration.
     *
     * @param learn receives all registered routers, on the control thread
     */
    void register(Consumer<Collection<FleetRouter>> learn) {
        source.register(self).publishOn(thread.scheduler()).subscribe(result -> {
            if (result instanceof RegistryReadResult.Registered registered) {
                position = registered.position();
                learn.accept(registered.routers());
            } else if (result instanceof RegistryReadResult.Unavailable unavailable) {
                LOG.info("this router could not be registered in the store; it tries again: {}", unavailable.reason());
                thread.scheduleAfter(RETRY_PAUSE, () -> registerUnlessRemoved(learn));
            }
        });
    }

    private void registerUnlessRemoved(Consumer<Collection<FleetRouter>> learn) {
        if (!removed) {
            register(learn);
        }
    }

    /**
     * Registers this router again after a delay, because the snapshot from which the store was restored may lack its
     * registration.
     *
     * @param delay how long this router waits
     * @param learn receives all registered routers, on the control thread
     */
    void storeRestored(Duration delay, Consumer<Collection<FleetRouter>> learn) {
        int renewal = ++lastRenewal;
        thread.scheduleAfter(delay, () -> {
            if (renewal == lastRenewal && registered() && !removed) {
                register(learn);
            }
        });
    }

    /** Tells whether this router is registered. The registrations of all other routers have been read by then, too. */
    boolean registered() {
        return position.known();
    }

    /** Removes the registration from the store, if there is one. */
    void remove() {
        removed = true;
        if (position.known()) {
            source.deregister(self.address(), position).subscribe();
        }
    }
}
