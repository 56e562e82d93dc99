package org.radishpass.routing.quarantine;

import java.util.List;

/**
 * The features of a request that may crash the endpoint that runs it.
 *
 * @param request the request as a whole
 * @param parts the parts of the prompt that other requests may share; empty without a prompt
 * @since 0.11.0
 */
public record RequestFeatures(RequestFingerprint request, List<PromptPartFingerprint> parts) {
    /** The features of a request that has not been resolved yet. */
    public static final RequestFeatures UNKNOWN = new RequestFeatures(RequestFingerprint.UNKNOWN, List.of());

    /** Creates features with a copy of the parts. */
    public RequestFeatures {
        parts = List.copyOf(parts);
    }
}
