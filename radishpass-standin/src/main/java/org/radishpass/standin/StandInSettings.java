package org.radishpass.standin;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;
import org.radishpass.runtime.settings.CommonSettings;
import org.radishpass.runtime.settings.SettingChecks;
import org.radishpass.standin.deployment.DeploymentKind;
import org.radishpass.standin.engine.EngineSettings;

/**
 * Command-line settings of the stand-ins.
 *
 * @since 0.1.0
 */
public final class StandInSettings extends CommonSettings {
    private static final int MAX_VALUE = 10_000_000;

    @Option(name = "--deployment", metaVar = "NAME", usage = "authority or granite-trough")
    private String deployment = "authority";

    @Option(name = "--run-dir", metaVar = "DIR", usage = "directory where processes write their ports")
    private @Nullable Path runDirectory;

    @Option(name = "--seed", metaVar = "N", usage = "seed of all chance")
    private long seed = 1;

    @Option(name = "--capacity", metaVar = "N", usage = "requests that an engine batches at once")
    private int capacity = EngineSettings.DEFAULT.capacity();

    @Option(name = "--prefill-micros", metaVar = "US", usage = "time for a prompt token that is not cached")
    private int prefillMicros = EngineSettings.DEFAULT.prefillMicrosPerToken();

    @Option(name = "--decode-micros", metaVar = "US", usage = "time between tokens of an idle engine")
    private int decodeMicros = EngineSettings.DEFAULT.decodeMicrosPerToken();

    @Option(name = "--cache-blocks", metaVar = "N", usage = "blocks of 16 tokens that an engine caches")
    private int cacheBlocks = EngineSettings.DEFAULT.cacheBlocks();

    @Option(name = "--report-lag-millis", metaVar = "MS", usage = "how late load reports are")
    private int reportLagMillis = EngineSettings.DEFAULT.reportLagMillis();

    @Override
    public List<String> faults() {
        List<String> faults = new ArrayList<>();
        if (DeploymentKind.byFlagName(deployment).isEmpty()) {
            faults.add("--deployment is '" + deployment + "'; write authority or granite-trough");
        }
        if (runDirectory == null || !Files.isDirectory(runDirectory)) {
            faults.add("--run-dir is not a directory");
        }
        SettingChecks.range("--capacity", capacity, 1, MAX_VALUE, faults);
        SettingChecks.range("--prefill-micros", prefillMicros, 0, MAX_VALUE, faults);
        SettingChecks.range("--decode-micros", decodeMicros, 0, MAX_VALUE, faults);
        SettingChecks.range("--cache-blocks", cacheBlocks, 0, MAX_VALUE, faults);
        SettingChecks.range("--report-lag-millis", reportLagMillis, 0, MAX_VALUE, faults);
        return faults;
    }

    /** Returns the deployment to run. */
    public DeploymentKind deployment() {
        return DeploymentKind.byFlagName(deployment).orElseThrow();
    }

    /** Returns the directory of the ports files. */
    public Path runDirectory() {
        return java.util.Objects.requireNonNull(runDirectory);
    }

    /** Returns the seed of the random generators. */
    public long seed() {
        return seed;
    }

    /** Returns the settings of the stand-in engines. */
    public EngineSettings engine() {
        return new EngineSettings(capacity, prefillMicros, decodeMicros, cacheBlocks, reportLagMillis, true);
    }
}
