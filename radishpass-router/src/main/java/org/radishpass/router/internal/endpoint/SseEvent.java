package org.radishpass.router.internal.endpoint;

/**
 * One server-sent event as the endpoint wrote it, without carriage returns.
 *
 * @param raw the event's bytes, including the blank line that ends the event
 * @param id the number in the event's {@code id} line, or -1 without a valid number
 * @param endMarker whether this event is the {@code [DONE]} marker that ends the stream
 * @since 0.1.0
 */
public record SseEvent(byte[] raw, long id, boolean endMarker) {}
