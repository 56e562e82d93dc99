package org.radishpass.router;

import java.util.List;
import org.kohsuke.args4j.Option;
import org.radishpass.runtime.settings.SettingChecks;
import org.radishpass.runtime.settings.VmSettings;

/**
 * Command-line settings of a router.
 *
 * @since 0.1.0
 */
public final class RouterSettings extends VmSettings {
    private static final int MAX_WORKERS = 64;
    private static final int MIN_INTERVAL_MILLIS = 50;
    private static final int MAX_INTERVAL_MILLIS = 60_000;
    private static final int MAX_DRAIN_SECONDS = 3_600;

    @Option(name = "--peer-port", metaVar = "PORT", usage = "port for other routers; 0 lets the system choose")
    private int peerPort;

    @Option(name = "--workers", metaVar = "N", usage = "event loops for traffic")
    private int workers = 2;

    @Option(name = "--head-poll-millis", metaVar = "MS", usage = "pause between two looks at the store's revision")
    private int headPollMillis = 2_000;

    @Option(name = "--list-poll-millis", metaVar = "MS", usage = "pause between two looks at the VM list")
    private int listPollMillis = 2_000;

    @Option(name = "--probe-millis", metaVar = "MS", usage = "pause between two probes of an endpoint by its owner")
    private int probeMillis = 1_000;

    @Option(
            name = "--balancer-seconds",
            metaVar = "S",
            usage = "how long the platform's balancer may take to notice that this router is not ready")
    private int balancerSeconds = 3;

    @Option(name = "--drain-seconds", metaVar = "S", usage = "how long running requests may take after a stop")
    private int drainSeconds = 600;

    @Override
    protected void addFaults(List<String> faults) {
        SettingChecks.port("--peer-port", peerPort, faults);
        SettingChecks.range("--workers", workers, 1, MAX_WORKERS, faults);
        SettingChecks.range("--head-poll-millis", headPollMillis, MIN_INTERVAL_MILLIS, MAX_INTERVAL_MILLIS, faults);
        SettingChecks.range("--list-poll-millis", listPollMillis, MIN_INTERVAL_MILLIS, MAX_INTERVAL_MILLIS, faults);
        SettingChecks.range("--probe-millis", probeMillis, MIN_INTERVAL_MILLIS, MAX_INTERVAL_MILLIS, faults);
        SettingChecks.range("--balancer-seconds", balancerSeconds, 0, MAX_DRAIN_SECONDS, faults);
        SettingChecks.range("--drain-seconds", drainSeconds, 0, MAX_DRAIN_SECONDS, faults);
    }

    /** Returns the port that other routers connect to; 0 lets the system choose. */
    public int peerPort() {
        return peerPort;
    }

    /** Returns the number of event loops that serve callers' requests. */
    public int workers() {
        return workers;
    }

    /** Returns the interval between polls of the store's configuration revision, in milliseconds. */
    public int headPollMillis() {
        return headPollMillis;
    }

    /** Returns the interval between polls of the platform's VM list, in milliseconds. */
    public int listPollMillis() {
        return listPollMillis;
    }

    /** Returns the interval between probes of the same endpoint, in milliseconds. */
    public int probeMillis() {
        return probeMillis;
    }

    /** Returns how long the platform's load balancer may take to notice that this router is not ready, in seconds. */
    public int balancerSeconds() {
        return balancerSeconds;
    }

    /** Returns how long a stopping router waits for requests in progress, in seconds. */
    public int drainSeconds() {
        return drainSeconds;
    }
}
