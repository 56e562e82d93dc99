package org.radishpass.simulation;

/**
 * Counts the prompt tokens of shared parts that engines read although some engine had read them before, and the prompt
 * tokens that engines fetched from each other.
 */
final class CacheCounts {
    private long readAgainTokens;
    private long fetchedTokens;

    void addReadAgain(int tokens) {
        readAgainTokens += tokens;
    }

    void addFetched(int tokens) {
        fetchedTokens += tokens;
    }

    long readAgainTokens() {
        return readAgainTokens;
    }

    long fetchedTokens() {
        return fetchedTokens;
    }
}
