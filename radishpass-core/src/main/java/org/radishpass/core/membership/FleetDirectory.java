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
 * The aggregate of all that a router knows of machines.
 *
 * <p>Its rules: absence from the list alone forgets nothing that still answers; leaving is sticky for an incarnation;
 * suspicion narrows the choice but never empties it, since an observer that finds most of a pool dead doubts itself.
 *
 * <p>Confined to one thread.
 *
 * @since 0.1.0
 */
public final class FleetDirectory {
    /** How long a machine that is neither listed nor heard of is remembered. */
    public static final Duration RETENTION = Duration.ofSeconds(15);

    private static final double DEFAULT_WEIGHT = 1;

    private final Map<String, Entry> entries = new HashMap<>();
    private final Set<String> leavingIncarnations = new HashSet<>();

    /**
     * Takes the platform's list. An empty list is taken for an outage and changes nothing.
     *
     * @param listings the list
     * @param now the time by this process's clock
     * @return whether it was news
     */
    public boolean listed(Collection<VmListing> listings, Instant now) {
        if (listings.isEmpty()) {
            return false;
        }
        boolean news = false;
        for (VmListing listing : listings) {
            Entry entry = entries.get(listing.id());
            if (entry == null) {
                entry = new Entry(listing);
                entries.put(listing.id(), entry);
                news = true;
            }
            news |= entry.updateListing(listing, now.plus(RETENTION));
            if (listing.leaving()) {
                news |= leavingIncarnations.add(incarnationKey(listing.id(), listing.incarnation()));
            }
        }
        return entries.values().removeIf(entry -> !entry.forgetAt.isAfter(now)) || news;
    }

    /**
     * Takes an endpoint's report, from a probe or from a peer.
     *
     * @param report the report
     * @param now the time by this process's clock
     * @return whether it was news
     */
    public boolean reported(EndpointReport report, Instant now) {
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
        return last == null || !report.sameStanding(last);
    }

    /**
     * Marks a machine as leaving, for the rest of its incarnation.
     *
     * @param id the machine
     */
    public void left(String id) {
        Entry entry = entries.get(id);
        if (entry != null) {
            leavingIncarnations.add(incarnationKey(id, entry.incarnation()));
        }
    }

    /**
     * Returns the last report of an endpoint.
     *
     * @param endpointId the endpoint
     */
    public Optional<EndpointReport> lastReport(String endpointId) {
        Entry entry = entries.get(endpointId);
        return entry == null ? Optional.empty() : Optional.ofNullable(entry.report);
    }

    /** Returns the picture that follows from all this. */
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
        Map<String, Integer> balance = new HashMap<>();
        for (Endpoint endpoint : endpoints) {
            int vote = endpoint.state() == EndpointState.SUSPECT ? 1 : 0;
            int against = endpoint.state() == EndpointState.READY ? 1 : 0;
            endpoint.pools().forEach(pool -> balance.merge(pool, vote - against, Integer::sum));
        }
        return endpoints.stream()
                .map(endpoint -> {
                    boolean doubted = endpoint.state() == EndpointState.SUSPECT
                            && endpoint.pools().stream().anyMatch(pool -> balance.getOrDefault(pool, 0) > 0);
                    return doubted ? endpoint.withState(EndpointState.READY) : endpoint;
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
            boolean news = !newListing.equals(listing);
            if (newListing.incarnation().compareTo(listing.incarnation()) >= 0) {
                listing = newListing;
            }
            if (report != null && listing.incarnation().compareTo(report.incarnation()) > 0) {
                report = null;
            }
            forgetAt = newForgetAt;
            return news;
        }

        private String incarnation() {
            if (report == null || listing.incarnation().compareTo(report.incarnation()) > 0) {
                return listing.incarnation();
            }
            return report.incarnation();
        }
    }
}
