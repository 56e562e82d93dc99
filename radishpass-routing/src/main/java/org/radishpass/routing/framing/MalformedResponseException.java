package org.radishpass.routing.framing;

import io.netty.handler.codec.DecoderException;

/**
 * A connection has delivered bytes that belong to no legal response. Nothing that follows them on it can be trusted.
 *
 * @since 0.16.0
 */
public final class MalformedResponseException extends DecoderException {
    private static final long serialVersionUID = 1L;

    private final HeadDefect defect;

    /**
     * Creates the exception.
     *
     * @param defect what was found
     */
    public MalformedResponseException(HeadDefect defect) {
        super("malformed response: " + defect.text());
        this.defect = defect;
    }

    /** Returns what was found. */
    public HeadDefect defect() {
        return defect;
    }
}
