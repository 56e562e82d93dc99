package org.radishpass.routing.traffic;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the time since the machine was booted, which includes time in suspension, from the kernel. */
final class MachineUptime {
    private static final Logger LOG = LoggerFactory.getLogger(MachineUptime.class);
    private static final Path FILE = Path.of("/proc/uptime");
    private static final double MILLIS_PER_SECOND = 1_000;

    private MachineUptime() {
        // static methods only
    }

    /** Returns the uptime in milliseconds, or empty if the kernel does not provide the file. */
    static OptionalLong millis() {
        try {
            String seconds = Files.readString(FILE).split(" ", 2)[0];
            return OptionalLong.of(Math.round(Double.parseDouble(seconds) * MILLIS_PER_SECOND));
        } catch (IOException | NumberFormatException e) {
            LOG.info(
                    "cannot read the machine uptime; suspensions of the machine will not be detected: {}",
                    e.toString());
            return OptionalLong.empty();
        }
    }
}
