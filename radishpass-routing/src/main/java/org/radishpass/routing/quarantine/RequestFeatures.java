package org.radishpass.routing.quarantine;

import java.util.ArrayList;
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

    /** Returns all features. */
    Iterable<CrashCause> all() {
        List<CrashCause> all = new ArrayList<>(1 + parts.size());
        all.add(request);
        all.addAll(parts);
        return all;
    }

    /** Tells whether a request with these features has another feature. */
    boolean include(CrashCause cause) {
        return request.equals(cause) || parts.contains(cause);
    }
}
