package org.radishpass.routing.report;

import org.jspecify.annotations.Nullable;

/**
 * The demand of one workspace for one service at one urgency, as rates over a recent window.
 *
 * @param service the service
 * @param workspace the workspace; empty for requests without a workspace
 * @param urgency the urgency; 0 is the most urgent
 * @param arrived the requests that arrived, per second
 * @param sent the requests that were sent to an endpoint, per second
 * @param completed the requests whose response was completed, per second
 * @param refused the requests that were refused for lack of capacity, per second
 * @since 0.8.0
 */
public record ServiceDemand(
        String service, String workspace, int urgency, double arrived, double sent, double completed, double refused) {
    private static final int HASH_FACTOR = 31;

    /**
     * Returns the sum of this demand and another demand of the same service, workspace and urgency.
     *
     * @param other the demand to add
     */
    public ServiceDemand plus(ServiceDemand other) {
        return new ServiceDemand(
                service,
                workspace,
                urgency,
                arrived + other.arrived,
                sent + other.sent,
                completed + other.completed,
                refused + other.refused);
    }

    /**
     * Returns the difference of this demand and another demand of the same service, workspace and urgency. No rate of
     * the result is negative.
     *
     * @param other the demand to subtract
     */
    public ServiceDemand minus(ServiceDemand other) {
        return new ServiceDemand(
                service,
                workspace,
                urgency,
                Math.max(0, arrived - other.arrived),
                Math.max(0, sent - other.sent),
                Math.max(0, completed - other.completed),
                Math.max(0, refused - other.refused));
    }

    /** Returns the service, workspace and urgency of this demand, without rates. */
    public Key key() {
        return new Key(service, workspace, urgency);
    }

    /**
     * Identifies a demand.
     *
     * @param service the service
     * @param workspace the workspace; empty for requests without a workspace
     * @param urgency the urgency; 0 is the most urgent
     * @since 0.8.0
     */
    public record Key(String service, String workspace, int urgency) {
        /** Written out because the generated method takes several times as long before it is compiled. */
        @Override
        public boolean equals(@Nullable Object other) {
            return other instanceof Key key
                    && urgency == key.urgency
                    && workspace.equals(key.workspace)
                    && service.equals(key.service);
        }

        @Override
        public int hashCode() {
            return (service.hashCode() * HASH_FACTOR + workspace.hashCode()) * HASH_FACTOR + urgency;
        }
    }
}
