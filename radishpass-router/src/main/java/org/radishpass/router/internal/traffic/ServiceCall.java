package org.radishpass.router.internal.traffic;

import org.jspecify.annotations.Nullable;

/**
 * A caller's HTTP call of a plain service, which is a service that is not a language model.
 *
 * @param service the name of the service
 * @param method the HTTP method
 * @param path the path and query at the service
 * @param contentType the media type of the body, or null
 * @param body the request body
 * @param idempotent whether the call may safely run more than once
 * @param key the caller's idempotency key, or null
 * @since 0.1.0
 */
record ServiceCall(
        String service,
        String method,
        String path,
        @Nullable String contentType,
        byte[] body,
        boolean idempotent,
        @Nullable String key) {}
