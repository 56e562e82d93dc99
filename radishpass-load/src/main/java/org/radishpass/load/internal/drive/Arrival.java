package org.radishpass.load.internal.drive;

import org.radishpass.load.internal.experiment.Workload;

/**
 * A scheduled request.
 *
 * @param index the request's position in the schedule, from 0
 * @param atNanos the time at which the request is due, in nanoseconds since load began
 * @param workload the workload to which the request belongs
 * @param body the request body as JSON
 * @param chatOrOrderId the identifier of the request's chat, or the order number
 * @param promptTokens the number of tokens in the prompt; 0 for orders
 * @param maxReusableTokens the number of prompt tokens that a cache of all earlier prompts could serve
 * @since 0.1.0
 */
public record Arrival(
        int index,
        long atNanos,
        Workload workload,
        String body,
        String chatOrOrderId,
        int promptTokens,
        int maxReusableTokens) {
    /** Returns the word that every answer token repeats, so that answers to other requests are recognised. */
    public String nonce() {
        return "n" + index;
    }
}
