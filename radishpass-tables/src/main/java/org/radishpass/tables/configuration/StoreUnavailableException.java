package org.radishpass.tables.configuration;

/**
 * Thrown when the table service gave no usable response.
 *
 * @since 0.1.0
 */
public final class StoreUnavailableException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message the reason
     */
    public StoreUnavailableException(String message) {
        super(message);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param message the reason
     * @param cause the cause
     */
    public StoreUnavailableException(String message, Throwable cause) {
        super(message, cause);
    }
}
