package org.radishpass.core.admission;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

/**
 * The priority classes of requests, from most to least urgent.
 *
 * @since 0.1.0
 */
public enum PriorityClass {
    /** Requests of which a user is waiting for the first token. */
    INTERACTIVE(0, Duration.ofSeconds(60), 1.0),
    /** Short checks and orders on which other work depends. */
    CHECK(1, Duration.ofSeconds(30), 1.0),
    /** Large jobs that no user waits for but that must finish by their deadline. */
    BATCH(2, Duration.ofMinutes(10), 0.5);

    private final int enginePriority;
    private final Duration defaultTimeout;
    private final double maxSlotShare;

    PriorityClass(int enginePriority, Duration defaultTimeout, double maxSlotShare) {
        this.enginePriority = enginePriority;
        this.defaultTimeout = defaultTimeout;
        this.maxSlotShare = maxSlotShare;
    }

    /** Returns the priority value that is sent to engines; 0 is the most urgent. */
    public int enginePriority() {
        return enginePriority;
    }

    /** Returns how long a caller is assumed to wait if its request sets no deadline. */
    public Duration defaultTimeout() {
        return defaultTimeout;
    }

    /**
     * Returns whether this class is limited to a part of an endpoint's slots, so that the rest is left to the other
     * classes.
     */
    public boolean sheddable() {
        return maxSlotShare < 1;
    }

    /**
     * Returns the maximum number of slots of an endpoint that requests of this class may hold.
     *
     * <p>The result is at least 1, so that a small endpoint can serve every class.
     *
     * @param capacity the number of slots of the endpoint
     */
    public int maxSlots(int capacity) {
        return Math.max(1, (int) (capacity * maxSlotShare));
    }

    /** Returns the name of this class on the wire and in configuration records. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the priority class with a given name on the wire, or empty if there is none.
     *
     * @param name the name; upper and lower case are equivalent
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
