package org.radishpass.router.internal.endpoint;

import org.jspecify.annotations.Nullable;

/**
 * An endpoint's answer, all of it.
 *
 * @param status the HTTP status
 * @param contentType the type of the body, if it has one
 * @param body the body
 * @since 0.1.0
 */
public record WholeAnswer(int status, @Nullable String contentType, byte[] body) {}
