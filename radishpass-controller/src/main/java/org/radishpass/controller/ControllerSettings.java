package org.radishpass.controller;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.runtime.settings.CommonSettings;
import org.radishpass.runtime.settings.SettingChecks;

/**
 * The settings of a controller.
 *
 * @since 0.1.0
 */
public final class ControllerSettings extends CommonSettings {
    private static final int MAX_PAUSE_MILLIS = 60_000;

    @Option(name = "--id", metaVar = "ID", usage = "identity of this VM in the platform's VM list")
    private @Nullable String id;

    @Option(name = "--data-centre", metaVar = "NAME", usage = "data centre that this VM stands in")
    private @Nullable String dataCentre;

    @Option(name = "--listen", metaVar = "IP", usage = "IP literal to listen on")
    private String listen = "127.0.0.1";

    @Option(name = "--port", metaVar = "PORT", usage = "port for operators; 0 lets the system choose")
    private int port;

    @Option(name = "--platform", metaVar = "URL", usage = "platform's address, http://IP:PORT")
    private @Nullable String platform;

    @Option(name = "--round-millis", metaVar = "MS", usage = "pause between two rounds of comparing and ordering")
    private int roundMillis = 1_000;

    @Option(name = "--ports-file", metaVar = "FILE", usage = "file to write the chosen port to")
    private @Nullable Path portsFile;

    @Override
    public List<String> faults() {
        List<String> faults = new ArrayList<>();
        SettingChecks.present("--id", id, faults);
        SettingChecks.present("--data-centre", dataCentre, faults);
        SettingChecks.ipLiteral("--listen", listen, faults);
        SettingChecks.port("--port", port, faults);
        SettingChecks.httpAddress("--platform", platform, faults);
        SettingChecks.range("--round-millis", roundMillis, 50, MAX_PAUSE_MILLIS, faults);
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

    /** Returns the port for operators. */
    public int port() {
        return port;
    }

    /** Returns the platform's address. */
    public String platform() {
        return String.valueOf(platform);
    }

    /** Returns the pause between rounds, in milliseconds. */
    public int roundMillis() {
        return roundMillis;
    }

    /** Returns the file for the chosen port, or null. */
    public @Nullable Path portsFile() {
        return portsFile;
    }
}
