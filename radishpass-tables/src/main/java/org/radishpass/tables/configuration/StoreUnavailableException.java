package org.radishpass.tables.configuration;

/**
 * The table service gave no usable answer.
 *
 * @since 0.1.0
 */
public final class StoreUnavailableException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates it.
     *
     * @param message what happened
     */
    public StoreUnavailableException(String message) {
        super(message);
    }

    /**
     * Creates it.
     *
     * @param message what happened
     * @param cause what brought it about
     */
    public StoreUnavailableException(String message, Throwable cause) {
        super(message, cause);
    }
}
