package org.radishpass.routing.dialect;

import org.jspecify.annotations.Nullable;

/**
 * A request head holds a header that cannot be read.
 *
 * @since 0.2.0
 */
public final class MalformedHeadException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message names the header and what is wrong with it
     * @param cause what was thrown, if anything
     */
    public MalformedHeadException(String message, @Nullable Throwable cause) {
        super(message, cause);
    }
}
