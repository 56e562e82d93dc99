package org.radishpass.runtime.settings;

import io.netty.util.NetUtil;
import java.net.URI;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Checks of settings that several programs share. Each check adds a message to a list if the setting is invalid.
 *
 * @since 0.1.0
 */
public final class SettingChecks {
    private static final int MAX_PORT = 65_535;

    private SettingChecks() {
        // static methods only
    }

    /**
     * Checks that a setting is present and not blank.
     *
     * @param flag the flag
     * @param value the value of the flag
     * @param faults the list to which a message is added
     */
    public static void present(String flag, @Nullable String value, List<String> faults) {
        if (value == null || value.isBlank()) {
            faults.add(flag + " is missing (or " + SettingsParser.environmentName(flag) + ")");
        }
    }

    /**
     * Checks that a value is an IP literal.
     *
     * @param flag the flag
     * @param value the value of the flag
     * @param faults the list to which a message is added
     */
    public static void ipLiteral(String flag, String value, List<String> faults) {
        if (!isIpLiteral(value)) {
            faults.add(flag + " is '" + value + "'; write an IP literal such as 10.1.2.3, not a name");
        }
    }

    /**
     * Checks that a value is a valid port number or 0.
     *
     * @param flag the flag
     * @param value the value of the flag; 0 selects a free port
     * @param faults the list to which a message is added
     */
    public static void port(String flag, int value, List<String> faults) {
        if (value < 0 || value > MAX_PORT) {
            faults.add(flag + " is " + value + "; write 0 to " + MAX_PORT);
        }
    }

    /**
     * Checks that a value is an HTTP or HTTPS URL whose host is an IP literal.
     *
     * @param flag the flag
     * @param value the value of the flag
     * @param faults the list to which a message is added
     */
    public static void httpAddress(String flag, @Nullable String value, List<String> faults) {
        if (value == null || value.isBlank()) {
            present(flag, value, faults);
            return;
        }
        try {
            URI uri = URI.create(value);
            boolean httpScheme = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
            if (httpScheme && uri.getHost() != null && isIpLiteral(uri.getHost())) {
                return;
            }
        } catch (IllegalArgumentException e) {
            faults.add(flag + " is '" + value + "': " + e.getMessage());
            return;
        }
        faults.add(flag + " is '" + value + "'; write http://IP:PORT with an IP literal");
    }

    /**
     * Checks that a number is within a range.
     *
     * @param flag the flag
     * @param value the value of the flag
     * @param min the lowest allowed value
     * @param max the highest allowed value
     * @param faults the list to which a message is added
     */
    public static void range(String flag, long value, long min, long max, List<String> faults) {
        if (value < min || value > max) {
            faults.add(flag + " is " + value + "; write " + min + " to " + max);
        }
    }

    private static boolean isIpLiteral(String value) {
        String bare = value.startsWith("[") && value.endsWith("]") ? value.substring(1, value.length() - 1) : value;
        return NetUtil.isValidIpV4Address(bare) || NetUtil.isValidIpV6Address(bare);
    }
}
