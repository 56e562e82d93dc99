package org.radishpass.core.cache;

import java.util.ArrayList;
import java.util.List;

/**
 * Divides prompts into blocks and computes for each block a hash that also covers all blocks before it.
 *
 * <p>Two prompts have as many leading hashes in common as they have leading whole blocks in common. Each word,
 * delimited by spaces, counts as one token.
 *
 * @since 0.1.0
 */
public final class PromptBlocks {
    /** The number of tokens in a block. */
    public static final int BLOCK_TOKENS = 16;

    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final int HASH_SHIFT = 29;

    private PromptBlocks() {
        // static methods only
    }

    /**
     * Returns the hashes of a prompt's whole blocks, in order. A shorter block at the end has no hash.
     *
     * @param text the text of the prompt
     */
    public static List<Long> prefixHashes(String text) {
        List<Long> hashes = new ArrayList<>();
        long hash = 1;
        int words = 0;
        int start = 0;
        for (int i = 0; i <= text.length(); i++) {
            boolean end = i == text.length() || text.charAt(i) == ' ';
            if (!end) {
                continue;
            }
            if (i > start) {
                hash = (hash ^ text.substring(start, i).hashCode()) * HASH_MULTIPLIER;
                hash ^= hash >>> HASH_SHIFT;
                words++;
                if (words % BLOCK_TOKENS == 0) {
                    hashes.add(hash);
                }
            }
            start = i + 1;
        }
        return hashes;
    }
}
