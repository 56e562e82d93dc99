package org.radishpass.core.admission;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

/**
 * The classes of requests, the most urgent first.
 *
 * @since 0.1.0
 */
public enum PriorityClass {
    /** Somebody is waiting for the first token. */
    INTERACTIVE(0, Duration.ofSeconds(60), 1.0),
    /** Short checks and orders that others wait on. */
    CHECK(1, Duration.ofSeconds(30), 1.0),
    /** Large jobs that nobody waits on but that must be done by their deadline. */
    BATCH(2, Duration.ofMinutes(10), 0.5);

    private final int enginePriority;
    private final Duration patience;
    private final double shareOfSlots;

    PriorityClass(int enginePriority, Duration patience, double shareOfSlots) {
        this.enginePriority = enginePriority;
        this.patience = patience;
        this.shareOfSlots = shareOfSlots;
    }

    /** Returns the priority that engines are given; 0 is the most urgent. */
    public int enginePriority() {
        return enginePriority;
    }

    /** Returns how long a caller that set no deadline is taken to wait. */
    public Duration patience() {
        return patience;
    }

    /** Tells whether this class gets only what the others leave. */
    public boolean sheddable() {
        return shareOfSlots < 1;
    }

    /**
     * Returns the most slots of an endpoint that this class may hold.
     *
     * @param capacity the endpoint's slots
     */
    public int mostSlots(int capacity) {
        return Math.max(1, (int) (capacity * shareOfSlots));
    }

    /** Returns the name used on the wire and in records. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Finds a class by its name on the wire.
     *
     * @param name the name, in any case
     */
    public static Optional<PriorityClass> byWireName(String name) {
        for (PriorityClass candidate : values()) {
            if (candidate.wireName().equalsIgnoreCase(name)) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }
}
