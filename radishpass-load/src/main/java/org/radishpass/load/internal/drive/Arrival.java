package org.radishpass.load.internal.drive;

import org.radishpass.load.internal.experiment.Workload;

/**
 * One request of the schedule.
 *
 * @param index its place in the schedule
 * @param atNanos when it is sent, since the start
 * @param workload whose it is
 * @param body what is sent
 * @param chat the chat it belongs to, or the number of the order
 * @param promptTokens the tokens of its prompt
 * @param reusableTokens the most of them that a cache that held everything before could serve
 * @since 0.1.0
 */
public record Arrival(
        int index, long atNanos, Workload workload, String body, String chat, int promptTokens, int reusableTokens) {
    /** Returns the word that every token of the answer repeats. */
    public String nonce() {
        return "n" + index;
    }
}
