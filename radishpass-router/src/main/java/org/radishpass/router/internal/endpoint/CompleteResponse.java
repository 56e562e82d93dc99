package org.radishpass.router.internal.endpoint;

import org.jspecify.annotations.Nullable;

/**
 * An endpoint's complete HTTP response, as opposed to a stream of events.
 *
 * @param status the HTTP status code
 * @param contentType the media type of the body, or null
 * @param body the response body
 * @since 0.1.0
 */
public record CompleteResponse(int status, @Nullable String contentType, byte[] body) {}
