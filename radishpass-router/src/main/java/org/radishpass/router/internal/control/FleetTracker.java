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
 * Keeps the directory of the fleet up to date from the platform's VM list, probes of endpoints and peers' reports.
 *
 * <p>Confined to the control thread.
 *
 * @since 0.1.0
 */
public final class FleetTracker {
    private static final int FAILURES_UNTIL_SUSPECT = 2;

    private final FleetDirectory directory = new FleetDirectory();
    private final Map<String, Integer> failuresById = new HashMap<>();
    private final ControlThread controlThread;
    private final EndpointProbe probe;
    private final Clock clock;
    private final Consumer<EndpointReport> reportListener;
    private final Runnable changeListener;
    private boolean listReceived;

    /**
     * Creates a tracker.
     *
     * @param controlThread the control thread
     * @param probe requests the status of endpoints
     * @param clock the source of the current time
     * @param reportListener receives each report that this router's own probes produce
     * @param changeListener runs after the view of the fleet may have changed
     */
    public FleetTracker(
            ControlThread controlThread,
            EndpointProbe probe,
            Clock clock,
            Consumer<EndpointReport> reportListener,
            Runnable changeListener) {
        this.controlThread = controlThread;
        this.probe = probe;
        this.clock = clock;
        this.reportListener = reportListener;
        this.changeListener = changeListener;
    }

    /** Returns whether a non-empty VM list has been received since this router started. */
    public boolean listReceived() {
        return listReceived;
    }

    /** Returns the current view of the fleet. */
    public FleetView view() {
        return directory.view();
    }

    /**
     * Updates the directory from the platform's VM list.
     *
     * @param listings the entries of the list
     */
    public void update(Collection<VmListing> listings) {
        boolean first = !listReceived && !listings.isEmpty();
        listReceived |= first;
        if (directory.applyVmList(listings, clock.instant()) || first) {
            changeListener.run();
        }
    }

    /**
     * Updates the directory from an endpoint's report that a peer sent.
     *
     * @param report the endpoint's report
     */
    public void update(EndpointReport report) {
        if (directory.applyReport(report, clock.instant())) {
            changeListener.run();
        }
    }

    /**
     * Marks a machine as leaving.
     *
     * @param id the machine's id
     */
    public void markLeaving(String id) {
        directory.markLeaving(id);
        changeListener.run();
    }

    /**
     * Starts one probe of each given endpoint.
     *
     * @param endpoints the endpoints to probe
     */
    public void probe(Collection<Endpoint> endpoints) {
        for (Endpoint endpoint : endpoints) {
            probe.probe(endpoint)
                    .publishOn(controlThread.scheduler())
                    .subscribe(this::onProbeAnswer, error -> onProbeFailure(endpoint));
        }
    }

    /**
     * Returns the last report of each given endpoint that has reported.
     *
     * @param endpointIds the ids of the endpoints
     */
    public List<EndpointReport> lastReports(Set<String> endpointIds) {
        List<EndpointReport> reports = new ArrayList<>();
        endpointIds.forEach(id -> directory.lastReport(id).ifPresent(reports::add));
        return reports;
    }

    private void onProbeAnswer(EndpointReport report) {
        failuresById.remove(report.endpointId());
        boolean directoryChanged = directory.applyReport(report, clock.instant());
        reportListener.accept(report);
        if (directoryChanged) {
            changeListener.run();
        }
    }

    private void onProbeFailure(Endpoint endpoint) {
        int count = failuresById.merge(endpoint.id(), 1, Integer::sum);
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
            if (last.state() != EndpointState.SUSPECT && directory.applyReport(suspect, clock.instant())) {
                reportListener.accept(suspect);
                changeListener.run();
            }
        });
    }
}
