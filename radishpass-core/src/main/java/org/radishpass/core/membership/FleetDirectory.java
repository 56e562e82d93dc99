package org.radishpass.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.fleet.Endpoint;
import org.radishpass.core.fleet.EndpointState;
import org.radishpass.core.fleet.Engine;
import org.radishpass.core.fleet.FleetView;
import org.radishpass.core.fleet.Runner;
import org.radishpass.core.fleet.Vm;
import org.radishpass.core.fleet.VmKind;
import org.radishpass.core.fleet.VmListing;

/**
 * A router's directory of the machines of the fleet, from which it derives a {@link FleetView}.
 *
 * <p>The directory follows three rules. An endpoint that is absent from the VM list is kept as long as it answers. A
 * machine that was once marked as leaving stays so for the rest of its incarnation. A suspected endpoint gets no
 * new requests unless one of its pools has more suspected than ready endpoints. In that case a fault of the observer
 * itself is more likely, and the endpoint is treated as ready.
 *
 * <p>Not thread-safe: all calls must come from one thread.
 *
 * @since 0.1.0
 */
public final class FleetDirectory {
    /** How long a machine stays in the directory after it was last listed or last answered. */
    public static final Duration RETENTION = Duration.ofSeconds(15);

    private static final double DEFAULT_WEIGHT = 1;

    private final Map<String, Entry> entries = new HashMap<>();
    private final Set<String> leavingIncarnations = new HashSet<>();

    /**
     * Applies the platform's VM list. An empty list is assumed to result from an outage of the platform and changes
     * nothing.
     *
     * @param listings the entries of the VM list
     * @param now the current time by this process's clock
     * @return whether the directory changed in a way that can change the {@link #view}
     */
    public boolean applyVmList(Collection<VmListing> listings, Instant now) {
        if (listings.isEmpty()) {
            return false;
        }
        boolean changed = false;
        for (VmListing listing : listings) {
            Entry entry = entries.get(listing.id());
            if (entry == null) {
                entry = new Entry(listing);
                entries.put(listing.id(), entry);
                changed = true;
            }
            changed |= entry.updateListing(listing, now.plus(RETENTION));
            if (listing.leaving()) {
                changed |= leavingIncarnations.add(incarnationKey(listing.id(), listing.incarnation()));
            }
        }
        return entries.values().removeIf(entry -> !entry.forgetAt.isAfter(now)) || changed;
    }

    /**
     * Applies a report of an endpoint, received from a probe or from another router. A report that is not newer than
     * the last one, or of an unknown endpoint, is ignored.
     *
     * @param report the report on the endpoint
     * @param now the current time by this process's clock
     * @return whether the directory changed in a way that can change the {@link #view}
     */
    public boolean applyReport(EndpointReport report, Instant now) {
        Entry entry = entries.get(report.endpointId());
        if (entry == null) {
            return false;
        }
        EndpointReport last = entry.report;
        if (last != null && !report.newerThan(last)) {
            return false;
        }
        entry.report = report;
        if (report.state() != EndpointState.SUSPECT) {
            entry.forgetAt = now.plus(RETENTION);
        }
        if (report.state() == EndpointState.LEAVING) {
            leavingIncarnations.add(incarnationKey(report.endpointId(), report.incarnation()));
        }
        return last == null || !report.sameIncarnationStateAndPools(last);
    }

    /**
     * Marks a machine as leaving for the rest of its incarnation. Has no effect if the machine is unknown.
     *
     * @param id the id of the machine
     */
    public void markLeaving(String id) {
        Entry entry = entries.get(id);
        if (entry != null) {
            leavingIncarnations.add(incarnationKey(id, entry.incarnation()));
        }
    }

    /**
     * Returns the last report of an endpoint, or empty if there is none.
     *
     * @param endpointId the id of the endpoint
     */
    public Optional<EndpointReport> lastReport(String endpointId) {
        Entry entry = entries.get(endpointId);
        return entry == null ? Optional.empty() : Optional.ofNullable(entry.report);
    }

    /** Returns a snapshot of the fleet as the directory knows it now. */
    public FleetView view() {
        List<Vm> vms = new ArrayList<>();
        List<Endpoint> endpoints = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.listing.kind() == VmKind.ROUTER) {
                vms.add(vm(entry));
            } else {
                endpoints.add(endpoint(entry));
            }
        }
        return FleetView.of(vms, readmitWhereMostAreSuspect(endpoints));
    }

    private static List<Endpoint> readmitWhereMostAreSuspect(List<Endpoint> endpoints) {
        Map<String, Integer> suspectsMinusReady = new HashMap<>();
        for (Endpoint endpoint : endpoints) {
            int suspect = endpoint.state() == EndpointState.SUSPECT ? 1 : 0;
            int ready = endpoint.state() == EndpointState.READY ? 1 : 0;
            endpoint.pools().forEach(pool -> suspectsMinusReady.merge(pool, suspect - ready, Integer::sum));
        }
        return endpoints.stream()
                .map(endpoint -> {
                    boolean readmitted = endpoint.state() == EndpointState.SUSPECT
                            && endpoint.pools().stream().anyMatch(pool -> suspectsMinusReady.getOrDefault(pool, 0) > 0);
                    return readmitted ? endpoint.withState(EndpointState.READY) : endpoint;
                })
                .toList();
    }

    private Vm vm(Entry entry) {
        VmListing listing = entry.listing;
        return new Vm(listing.id(), listing.dataCentre(), listing.address(), isLeaving(entry));
    }

    private Endpoint endpoint(Entry entry) {
        VmListing listing = entry.listing;
        EndpointReport report = entry.report;
        EndpointState state = report == null ? EndpointState.JOINING : report.state();
        if (isLeaving(entry)) {
            state = EndpointState.LEAVING;
        }
        Set<String> pools = report == null ? Set.of() : report.pools();
        if (listing.kind() == VmKind.ENGINE) {
            return new Engine(
                    listing.id(),
                    entry.incarnation(),
                    listing.dataCentre(),
                    listing.address(),
                    state,
                    pools,
                    DEFAULT_WEIGHT);
        }
        return new Runner(
                listing.id(),
                entry.incarnation(),
                listing.dataCentre(),
                listing.address(),
                state,
                pools,
                DEFAULT_WEIGHT);
    }

    private boolean isLeaving(Entry entry) {
        return leavingIncarnations.contains(incarnationKey(entry.listing.id(), entry.incarnation()));
    }

    private static String incarnationKey(String id, String incarnation) {
        return id + '/' + incarnation;
    }

    private static final class Entry {
        private VmListing listing;
        private Instant forgetAt = Instant.MIN;
        private @Nullable EndpointReport report;

        private Entry(VmListing listing) {
            this.listing = listing;
        }

        private boolean updateListing(VmListing newListing, Instant newForgetAt) {
            boolean changed = !newListing.equals(listing);
            if (newListing.incarnation().compareTo(listing.incarnation()) >= 0) {
                listing = newListing;
            }
            if (report != null && listing.incarnation().compareTo(report.incarnation()) > 0) {
                report = null;
            }
            forgetAt = newForgetAt;
            return changed;
        }

        private String incarnation() {
            if (report == null || listing.incarnation().compareTo(report.incarnation()) > 0) {
                return listing.incarnation();
            }
            return report.incarnation();
        }
    }
}
