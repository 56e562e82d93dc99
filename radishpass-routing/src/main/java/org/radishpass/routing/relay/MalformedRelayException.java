package org.radishpass.routing.relay;

/**
 * Thrown when a relayed request lacks a header of the relaying router, or has one that cannot be read.
 *
 * @since 0.9.0
 */
public final class MalformedRelayException extends Exception {
    private static final long serialVersionUID = 1;

    MalformedRelayException(String message) {
        super(message);
    }

    MalformedRelayException(String message, Throwable cause) {
        super(message, cause);
    }
}
