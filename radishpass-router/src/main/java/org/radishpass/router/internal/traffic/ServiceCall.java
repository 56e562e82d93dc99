package org.radishpass.router.internal.traffic;

import org.jspecify.annotations.Nullable;

/**
 * A call of a plain service.
 *
 * @param service the service
 * @param method the HTTP method
 * @param path the path and query at the service
 * @param contentType the type of the body, if it has one
 * @param body the body
 * @param idempotent whether running it twice does no harm
 * @param key the caller's idempotency key, if it sent one
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
