package org.radishpass.simulation;

import java.util.ArrayList;
import java.util.List;
import org.radishpass.routing.retry.RetryAllowance;

/** The routers, endpoints, request classes and faults of one simulation. */
final class Deployment {
    private final int routers;
    private final List<EnginePool> enginePools;
    private final List<PlainPool> plainPools;
    private final List<RequestClass> requestClasses;
    private final List<Fault> faults;
    private final RetryAllowance retryAllowance;

    private Deployment(Builder builder) {
        this.routers = builder.routers;
        this.enginePools = List.copyOf(builder.engines);
        this.plainPools = List.copyOf(builder.plain);
        this.requestClasses = List.copyOf(builder.classes);
        this.faults = List.copyOf(builder.faults);
        this.retryAllowance = builder.retryAllowance;
    }

    static Builder builder() {
        return new Builder();
    }

    int routers() {
        return routers;
    }

    List<EnginePool> enginePools() {
        return enginePools;
    }

    List<PlainPool> plainPools() {
        return plainPools;
    }

    List<RequestClass> requestClasses() {
        return requestClasses;
    }

    List<Fault> faults() {
        return faults;
    }

    RetryAllowance retryAllowance() {
        return retryAllowance;
    }

    /** The inference engines of one service, all with the same settings. */
    record EnginePool(String service, int count, EngineSettings settings) {}

    /** The endpoints of one plain service, all with the same number of slots and the same queue capacity. */
    record PlainPool(String service, int count, int slots, int queue) {}

    /** Collects the parts of a deployment. */
    static final class Builder {
        private final List<EnginePool> engines = new ArrayList<>();
        private final List<PlainPool> plain = new ArrayList<>();
        private final List<RequestClass> classes = new ArrayList<>();
        private final List<Fault> faults = new ArrayList<>();
        private int routers = 1;
        private RetryAllowance retryAllowance = RetryAllowance.DEFAULT;

        Builder routers(int count) {
            this.routers = count;
            return this;
        }

        Builder engines(String service, int count, EngineSettings settings) {
            engines.add(new EnginePool(service, count, settings));
            return this;
        }

        Builder plain(String service, int count, int slots, int queue) {
            plain.add(new PlainPool(service, count, slots, queue));
            return this;
        }

        Builder requestClass(RequestClass requestClass) {
            classes.add(requestClass);
            return this;
        }

        Builder fault(Fault fault) {
            faults.add(fault);
            return this;
        }

        Builder retryAllowance(RetryAllowance retries) {
            this.retryAllowance = retries;
            return this;
        }

        Deployment build() {
            return new Deployment(this);
        }
    }
}
