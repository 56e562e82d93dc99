package org.radishpass.router;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.runtime.settings.CommonSettings;
import org.radishpass.runtime.settings.SettingChecks;

/**
 * The settings of a router.
 *
 * @since 0.1.0
 */
public final class RouterSettings extends CommonSettings {
    private static final int MAX_WORKERS = 64;
    private static final int MAX_PAUSE_MILLIS = 60_000;
    private static final int MAX_DRAIN_SECONDS = 3_600;

    @Option(name = "--id", metaVar = "ID", usage = "identity of this VM in the platform's VM list")
    private @Nullable String id;

    @Option(name = "--data-centre", metaVar = "NAME", usage = "data centre that this VM stands in")
    private @Nullable String dataCentre;

    @Option(name = "--listen", metaVar = "IP", usage = "IP literal to listen on")
    private String listen = "127.0.0.1";

    @Option(name = "--port", metaVar = "PORT", usage = "port for callers; 0 lets the system choose")
    private int port;

    @Option(name = "--peer-port", metaVar = "PORT", usage = "port for other routers; 0 lets the system choose")
    private int peerPort;

    @Option(name = "--platform", metaVar = "URL", usage = "platform's address, http://IP:PORT")
    private @Nullable String platform;

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

    @Option(name = "--ports-file", metaVar = "FILE", usage = "file to write the chosen ports to")
    private @Nullable Path portsFile;

    @Override
    public List<String> faults() {
        List<String> faults = new ArrayList<>();
        SettingChecks.present("--id", id, faults);
        SettingChecks.present("--data-centre", dataCentre, faults);
        SettingChecks.ipLiteral("--listen", listen, faults);
        SettingChecks.port("--port", port, faults);
        SettingChecks.port("--peer-port", peerPort, faults);
        SettingChecks.httpAddress("--platform", platform, faults);
        SettingChecks.range("--workers", workers, 1, MAX_WORKERS, faults);
        SettingChecks.range("--head-poll-millis", headPollMillis, 50, MAX_PAUSE_MILLIS, faults);
        SettingChecks.range("--list-poll-millis", listPollMillis, 50, MAX_PAUSE_MILLIS, faults);
        SettingChecks.range("--probe-millis", probeMillis, 50, MAX_PAUSE_MILLIS, faults);
        SettingChecks.range("--balancer-seconds", balancerSeconds, 0, MAX_DRAIN_SECONDS, faults);
        SettingChecks.range("--drain-seconds", drainSeconds, 0, MAX_DRAIN_SECONDS, faults);
        return faults;
    }

    /** Returns the identity of this VM. */
    public String id() {
        return String.valueOf(id);
    }

    /** Returns where it stands. */
    public DataCentre dataCentre() {
        return new DataCentre(String.valueOf(dataCentre));
    }

    /** Returns the address to listen on. */
    public String listen() {
        return listen;
    }

    /** Returns the port for callers. */
    public int port() {
        return port;
    }

    /** Returns the port for other routers. */
    public int peerPort() {
        return peerPort;
    }

    /** Returns the platform's address. */
    public String platform() {
        return String.valueOf(platform);
    }

    /** Returns the number of event loops. */
    public int workers() {
        return workers;
    }

    /** Returns the pause between looks at the store's revision, in milliseconds. */
    public int headPollMillis() {
        return headPollMillis;
    }

    /** Returns the pause between looks at the VM list, in milliseconds. */
    public int listPollMillis() {
        return listPollMillis;
    }

    /** Returns the pause between probes, in milliseconds. */
    public int probeMillis() {
        return probeMillis;
    }

    /** Returns how long the balancer may take to notice, in seconds. */
    public int balancerSeconds() {
        return balancerSeconds;
    }

    /** Returns how long running requests may take after a stop, in seconds. */
    public int drainSeconds() {
        return drainSeconds;
    }

    /** Returns the file for the chosen ports, or null. */
    public @Nullable Path portsFile() {
        return portsFile;
    }
}
