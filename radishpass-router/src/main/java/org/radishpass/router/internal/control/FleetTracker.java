package org.radishpass.router.internal.control;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.radishpass.core.fleet.Endpoint;
import org.radishpass.core.fleet.EndpointState;
import org.radishpass.core.fleet.FleetView;
import org.radishpass.core.fleet.VmListing;
import org.radishpass.core.membership.EndpointReport;
import org.radishpass.core.membership.FleetDirectory;
import org.radishpass.runtime.thread.ControlThread;

/**
 * Keeps the directory of the fleet up to date: asks for the list and probes the endpoints that this router owns.
 *
 * <p>Confined to the control thread.
 *
 * @since 0.1.0
 */
public final class FleetTracker {
    private static final int FAILURES_UNTIL_SUSPECT = 2;

    private final FleetDirectory directory = new FleetDirectory();
    private final Map<String, Integer> failures = new HashMap<>();
    private final ControlThread control;
    private final EndpointProbe probe;
    private final Clock clock;
    private final Consumer<EndpointReport> news;
    private final Runnable changed;
    private boolean listed;

    /**
     * Creates a tracker.
     *
     * @param control the control thread
     * @param probe asks endpoints
     * @param clock tells the time
     * @param news takes each report of an own probe, and whether it was news
     * @param changed runs after the picture may have changed
     */
    public FleetTracker(
            ControlThread control, EndpointProbe probe, Clock clock, Consumer<EndpointReport> news, Runnable changed) {
        this.control = control;
        this.probe = probe;
        this.clock = clock;
        this.news = news;
        this.changed = changed;
    }

    /** Tells whether the list was seen since the start. */
    public boolean listed() {
        return listed;
    }

    /** Returns the picture as it is now. */
    public FleetView view() {
        return directory.view();
    }

    /**
     * Takes the platform's list.
     *
     * @param listings the list
     */
    public void take(Collection<VmListing> listings) {
        boolean first = !listed && !listings.isEmpty();
        listed |= first;
        if (directory.listed(listings, clock.instant()) || first) {
            changed.run();
        }
    }

    /**
     * Takes a report that a peer passed on.
     *
     * @param report the report
     */
    public void take(EndpointReport report) {
        if (directory.reported(report, clock.instant())) {
            changed.run();
        }
    }

    /**
     * Marks a machine as leaving.
     *
     * @param id the machine
     */
    public void left(String id) {
        directory.left(id);
        changed.run();
    }

    /**
     * Probes endpoints.
     *
     * @param endpoints the endpoints that this router owns
     */
    public void probe(Collection<Endpoint> endpoints) {
        for (Endpoint endpoint : endpoints) {
            probe.ask(endpoint).publishOn(control.scheduler()).subscribe(this::answered, error -> failed(endpoint));
        }
    }

    /**
     * Returns the last reports of some endpoints.
     *
     * @param endpointIds the endpoints
     */
    public List<EndpointReport> lastReports(Set<String> endpointIds) {
        List<EndpointReport> reports = new ArrayList<>();
        endpointIds.forEach(id -> directory.lastReport(id).ifPresent(reports::add));
        return reports;
    }

    private void answered(EndpointReport report) {
        failures.remove(report.endpointId());
        boolean isNews = directory.reported(report, clock.instant());
        news.accept(report);
        if (isNews) {
            changed.run();
        }
    }

    private void failed(Endpoint endpoint) {
        int count = failures.merge(endpoint.id(), 1, Integer::sum);
        if (count < FAILURES_UNTIL_SUSPECT) {
            return;
        }
        directory.lastReport(endpoint.id()).ifPresent(last -> {
            EndpointReport suspect = new EndpointReport(
                    last.endpointId(),
                    last.incarnation(),
                    last.sequence() + 1,
                    EndpointState.SUSPECT,
                    last.pools(),
                    last.running(),
                    last.capacity());
            if (last.state() != EndpointState.SUSPECT && directory.reported(suspect, clock.instant())) {
                news.accept(suspect);
                changed.run();
            }
        });
    }
}
