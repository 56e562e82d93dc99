package org.radishpass.runtime.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;
import org.radishpass.core.fleet.DataCentre;

/**
 * The settings of every program that runs on an entry VM: its identity, its data centre, its addresses and the
 * platform's address.
 *
 * @since 0.1.0
 */
public abstract class VmSettings extends CommonSettings {
    @Option(name = "--id", metaVar = "ID", usage = "identity of this VM in the platform's VM list")
    private @Nullable String id;

    @Option(name = "--data-centre", metaVar = "NAME", usage = "data centre that this VM stands in")
    private @Nullable String dataCentre;

    @Option(name = "--listen", metaVar = "IP", usage = "IP literal to listen on")
    private String listen = "127.0.0.1";

    @Option(name = "--port", metaVar = "PORT", usage = "port for callers and operators; 0 lets the system choose")
    private int port;

    @Option(name = "--platform", metaVar = "URL", usage = "platform's address, http://IP:PORT")
    private @Nullable String platform;

    @Option(name = "--ports-file", metaVar = "FILE", usage = "file to write the chosen ports to")
    private @Nullable Path portsFile;

    @Override
    public final List<String> faults() {
        List<String> faults = new ArrayList<>();
        if (help() || version()) {
            return faults;
        }
        SettingChecks.present("--id", id, faults);
        SettingChecks.present("--data-centre", dataCentre, faults);
        SettingChecks.ipLiteral("--listen", listen, faults);
        SettingChecks.port("--port", port, faults);
        SettingChecks.httpAddress("--platform", platform, faults);
        addFaults(faults);
        return faults;
    }

    /**
     * Checks the settings of the concrete program.
     *
     * @param faults the list to which a message for each invalid setting is added
     */
    protected abstract void addFaults(List<String> faults);

    /** Returns the identity of this VM. */
    public final String id() {
        return String.valueOf(id);
    }

    /** Returns the data centre of this VM. */
    public final DataCentre dataCentre() {
        return new DataCentre(String.valueOf(dataCentre));
    }

    /** Returns the IP literal to listen on. */
    public final String listen() {
        return listen;
    }

    /** Returns the port for callers and operators. */
    public final int port() {
        return port;
    }

    /** Returns the base URL of the platform. */
    public final String platform() {
        return String.valueOf(platform);
    }

    /** Returns the file to write the chosen ports to, or null for none. */
    public final @Nullable Path portsFile() {
        return portsFile;
    }
}
