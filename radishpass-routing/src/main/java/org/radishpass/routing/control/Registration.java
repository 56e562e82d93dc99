package org.radishpass.routing.control;

import java.time.Duration;
import java.util.Collection;
import java.util.function.Consumer;
import org.radishpass.routing.fleet.FleetRouter;
import org.radishpass.routing.fleet.StorePosition;
import org.radishpass.runtime.thread.ControlThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** This router's registration in the store, by which others find it. State belongs to the control thread. */
final class Registration {
    private static final Logger LOG = LoggerFactory.getLogger(Registration.class);

    /** How long until a registration that could not be made is tried again. */
    private static final Duration AGAIN = Duration.ofMillis(700);

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
     * Registers this router, and tries again until that is done.
     *
     * @param learn hears which routers are registered; called on the control thread
     */
    void register(Consumer<Collection<FleetRouter>> learn) {
        source.register(self).publishOn(thread.scheduler()).subscribe(reading -> {
            if (reading instanceof RegistryReading.Registered registered) {
                position = registered.position();
                learn.accept(registered.routers());
            } else if (reading instanceof RegistryReading.Unavailable unavailable) {
                LOG.info("this router cannot be registered yet: {}", unavailable.reason());
                thread.after(AGAIN, () -> registerUnlessRemoved(learn));
            }
        });
    }

    private void registerUnlessRemoved(Consumer<Collection<FleetRouter>> learn) {
        if (!removed) {
            register(learn);
        }
    }

    /**
     * Registers this router again: the snapshot from which the store was restored may lack it.
     *
     * @param turn how long this router lets others go first
     * @param learn hears which routers are registered; called on the control thread
     */
    void storeRestored(Duration turn, Consumer<Collection<FleetRouter>> learn) {
        int renewal = ++lastRenewal;
        thread.after(turn, () -> {
            if (renewal == lastRenewal && done() && !removed) {
                register(learn);
            }
        });
    }

    /** Tells whether it was made, and with it the registrations of all others were read. */
    boolean done() {
        return position.known();
    }

    /** Removes the registration, if there is one. */
    void remove() {
        removed = true;
        if (position.known()) {
            source.deregister(self.address(), position).subscribe();
        }
    }
}
