package org.radishpass.routing.control;

/**
 * Thrown when a configuration document cannot be decoded.
 *
 * @since 0.2.0
 */
public final class MalformedDocumentException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message describes the fault and its location
     * @param cause the underlying exception
     */
    public MalformedDocumentException(String message, Throwable cause) {
        super(message, cause);
    }
}
