package org.radishpass.router.internal.endpoint;

/**
 * One server-sent event as the endpoint wrote it.
 *
 * @param raw its bytes, with the blank line that ends it
 * @param id the number in its id line; -1 without one
 * @param last whether it is the mark that ends the stream
 * @since 0.1.0
 */
public record SseEvent(byte[] raw, long id, boolean last) {}
