package org.radishpass.router.internal.endpoint;

import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.admission.PriorityClass;
import org.radishpass.core.fleet.Endpoint;

/**
 * One sending of a request to an endpoint.
 *
 * @param requestId the request
 * @param number counts the attempts, from 1
 * @param endpoint where it goes
 * @param method the HTTP method
 * @param path the path at the endpoint
 * @param contentType the type of the body, if it has one
 * @param body the body
 * @param priority the class of the request
 * @param deadline after which it must not be sent
 * @param resumeFrom the number of the first token that is still wanted
 * @since 0.1.0
 */
public record Attempt(
        String requestId,
        int number,
        Endpoint endpoint,
        String method,
        String path,
        @Nullable String contentType,
        byte[] body,
        PriorityClass priority,
        Instant deadline,
        long resumeFrom) {}
