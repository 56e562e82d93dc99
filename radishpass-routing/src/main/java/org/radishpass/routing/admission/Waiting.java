package org.radishpass.routing.admission;

/**
 * A request that waits for its start.
 *
 * @param <T> the type of the item
 * @param item the item that the request stands for
 * @param request the properties of the request
 * @param sequence the position in the order of arrival
 * @since 0.8.0
 */
public record Waiting<T>(T item, AdmissionRequest request, long sequence) {}
