package org.radishpass.core.fleet;

/**
 * A network address: an IP literal and a port.
 *
 * @param host an IPv4 or IPv6 literal
 * @param port the port, 1 to 65535
 * @since 0.1.0
 */
public record Address(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /** Checks that the port is in range. */
    public Address {
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("port " + port + " is not between 1 and " + MAX_PORT);
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
