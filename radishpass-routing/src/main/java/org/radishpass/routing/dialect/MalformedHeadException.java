package org.radishpass.routing.dialect;

import org.jspecify.annotations.Nullable;

/**
 * Thrown when a request head contains a header that cannot be decoded.
 *
 * @since 0.2.0
 */
public final class MalformedHeadException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message the name of the header and the reason
     * @param cause the exception that the decoder threw, or null
     */
    public MalformedHeadException(String message, @Nullable Throwable cause) {
        super(message, cause);
    }
}
