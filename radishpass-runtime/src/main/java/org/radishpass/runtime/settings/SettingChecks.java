package org.radishpass.runtime.settings;

import io.netty.util.NetUtil;
import java.net.URI;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Checks that several programs share.
 *
 * @since 0.1.0
 */
public final class SettingChecks {
    private static final int MAX_PORT = 65_535;

    private SettingChecks() {
        // static methods only
    }

    /**
     * Adds a fault if a text is missing.
     *
     * @param flag the flag
     * @param value its value
     * @param faults where faults go
     */
    public static void present(String flag, @Nullable String value, List<String> faults) {
        if (value == null || value.isBlank()) {
            faults.add(flag + " is missing (or " + SettingsParser.environmentName(flag) + ")");
        }
    }

    /**
     * Adds a fault if a value is not an IP literal.
     *
     * @param flag the flag
     * @param value its value
     * @param faults where faults go
     */
    public static void ipLiteral(String flag, String value, List<String> faults) {
        if (!isIpLiteral(value)) {
            faults.add(flag + " is '" + value + "'; write an IP literal such as 10.1.2.3, not a name");
        }
    }

    /**
     * Adds a fault if a value is not a port.
     *
     * @param flag the flag
     * @param value its value; 0 lets the system choose
     * @param faults where faults go
     */
    public static void port(String flag, int value, List<String> faults) {
        if (value < 0 || value > MAX_PORT) {
            faults.add(flag + " is " + value + "; write 0 to " + MAX_PORT);
        }
    }

    /**
     * Adds a fault if a value is not an HTTP address with an IP literal.
     *
     * @param flag the flag
     * @param value its value
     * @param faults where faults go
     */
    public static void httpAddress(String flag, @Nullable String value, List<String> faults) {
        if (value == null || value.isBlank()) {
            present(flag, value, faults);
            return;
        }
        try {
            URI uri = URI.create(value);
            boolean scheme = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
            if (scheme && uri.getHost() != null && isIpLiteral(uri.getHost())) {
                return;
            }
        } catch (IllegalArgumentException e) {
            faults.add(flag + " is '" + value + "': " + e.getMessage());
            return;
        }
        faults.add(flag + " is '" + value + "'; write http://IP:PORT with an IP literal");
    }

    /**
     * Adds a fault if a number lies outside a range.
     *
     * @param flag the flag
     * @param value its value
     * @param least the least that is allowed
     * @param most the most that is allowed
     * @param faults where faults go
     */
    public static void range(String flag, long value, long least, long most, List<String> faults) {
        if (value < least || value > most) {
            faults.add(flag + " is " + value + "; write " + least + " to " + most);
        }
    }

    private static boolean isIpLiteral(String value) {
        String bare = value.startsWith("[") && value.endsWith("]") ? value.substring(1, value.length() - 1) : value;
        return NetUtil.isValidIpV4Address(bare) || NetUtil.isValidIpV6Address(bare);
    }
}
