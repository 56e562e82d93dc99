package org.radishpass.routing.control;

/**
 * A document holds something that cannot be read.
 *
 * @since 0.2.0
 */
public final class MalformedDocumentException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message says what is wrong, and where
     * @param cause what was thrown, if anything
     */
    public MalformedDocumentException(String message, Throwable cause) {
        super(message, cause);
    }
}
