package org.radishpass.routing.performance;

import java.util.Optional;

/**
 * A method of placing requests where endpoints differ in speed. Where they do not, all methods place requests as {@link
 * #REQUESTS} does.
 *
 * @since 0.8.0
 */
public enum PlacementMethod {
    /** Counts requests in flight and disregards the speed of endpoints. */
    REQUESTS("requests", 0) {
        @Override
        public double loadFactor(double work, double meanWork, int slots) {
            return work + 1;
        }
    },

    /** Compares two endpoints by the work in flight and the slowdown. */
    TWO_CHOICES("two-choices", 2) {
        @Override
        public double loadFactor(double work, double meanWork, int slots) {
            return (work + 1) / (meanWork + 1);
        }
    },

    /**
     * Compares all endpoints by the expected time to the first event, which increases in proportion to the used part of
     * the slots.
     */
    EXPECTED_TIME("expected-time", Integer.MAX_VALUE) {
        @Override
        public double loadFactor(double work, double meanWork, int slots) {
            return (slots + work) / (slots + meanWork);
        }
    };

    /** The method that applies unless a setting selects another. */
    public static final PlacementMethod DEFAULT = REQUESTS;

    private final String setting;
    private final int compared;

    PlacementMethod(String setting, int compared) {
        this.setting = setting;
        this.compared = compared;
    }

    /**
     * Returns the method that a setting selects; empty if there is none of that name.
     *
     * @param setting the value of the setting
     */
    public static Optional<PlacementMethod> ofSetting(String setting) {
        for (PlacementMethod method : values()) {
            if (method.setting.equals(setting)) {
                return Optional.of(method);
            }
        }
        return Optional.empty();
    }

    /** Returns the value of the setting that selects this method. */
    public String setting() {
        return setting;
    }

    /** Tells whether this method takes the speed of endpoints into account. */
    public boolean weighsSpeed() {
        return compared > 0;
    }

    /** Returns the number of endpoints that are compared for a request without shared prompt parts. */
    public int comparedEndpoints() {
        return compared;
    }

    /**
     * Returns the factor by which the time to the first event differs from the usual one because of the work in flight.
     *
     * @param work the work in flight at the endpoint, in mean requests
     * @param meanWork the mean work in flight at the endpoints of the service, in mean requests
     * @param slots the number of requests that the endpoint runs concurrently
     */
    public abstract double loadFactor(double work, double meanWork, int slots);
}
