package org.radishpass.routing.traffic;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The time since the machine was booted, suspensions included, as the kernel tells it. */
final class BootTime {
    private static final Logger LOG = LoggerFactory.getLogger(BootTime.class);
    private static final Path FILE = Path.of("/proc/uptime");
    private static final double MILLIS_PER_SECOND = 1_000;

    private BootTime() {
        // static methods only
    }

    /** Returns it in milliseconds; empty where the kernel has no such file. */
    static OptionalLong millis() {
        try {
            String seconds = Files.readString(FILE).split(" ", 2)[0];
            return OptionalLong.of(Math.round(Double.parseDouble(seconds) * MILLIS_PER_SECOND));
        } catch (IOException | NumberFormatException e) {
            LOG.info("the time since the boot cannot be read, so that suspensions are not noticed: {}", e.toString());
            return OptionalLong.empty();
        }
    }
}
