package org.radishpass.router.internal.endpoint;

import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.admission.PriorityClass;
import org.radishpass.core.fleet.Endpoint;

/**
 * One attempt to execute a request at an endpoint.
 *
 * @param requestId the request's id
 * @param number the number of this attempt within the request, from 1
 * @param endpoint the endpoint that receives the request
 * @param method the HTTP method
 * @param path the path at the endpoint
 * @param contentType the media type of the body, or null
 * @param body the request body
 * @param priority the request's priority class
 * @param deadline the time after which the request must not be sent
 * @param resumeFrom the number of the first token that the caller has not received
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
