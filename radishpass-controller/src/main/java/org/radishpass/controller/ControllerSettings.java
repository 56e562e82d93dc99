package org.radishpass.controller;

import java.util.List;
import org.kohsuke.args4j.Option;
import org.radishpass.runtime.settings.SettingChecks;
import org.radishpass.runtime.settings.VmSettings;

/**
 * The command-line settings of a controller.
 *
 * @since 0.1.0
 */
public final class ControllerSettings extends VmSettings {
    private static final int MIN_ROUND_MILLIS = 50;
    private static final int MAX_ROUND_MILLIS = 60_000;

    @Option(name = "--round-millis", metaVar = "MS", usage = "pause between two rounds of comparing and ordering")
    private int roundMillis = 1_000;

    @Override
    protected void addFaults(List<String> faults) {
        SettingChecks.range("--round-millis", roundMillis, MIN_ROUND_MILLIS, MAX_ROUND_MILLIS, faults);
    }

    /** Returns the interval between two reconciliation rounds in milliseconds. */
    public int roundMillis() {
        return roundMillis;
    }
}
