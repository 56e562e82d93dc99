package org.radishpass.core.cache;

import java.util.ArrayList;
import java.util.List;

/**
 * Cuts prompts into blocks, each named by a hash that also covers all blocks before it.
 *
 * <p>Two prompts share as many leading hashes as they share whole blocks of their beginning. A token is taken to be a
 * word.
 *
 * @since 0.1.0
 */
public final class PromptBlocks {
    /** The tokens of a block. */
    public static final int BLOCK_TOKENS = 16;

    private static final long MIX = 0x9E3779B97F4A7C15L;
    private static final int SHIFT = 29;

    private PromptBlocks() {
        // static methods only
    }

    /**
     * Returns the hashes of a prompt's whole blocks.
     *
     * @param text the prompt
     */
    public static List<Long> chain(String text) {
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
                hash = (hash ^ text.substring(start, i).hashCode()) * MIX;
                hash ^= hash >>> SHIFT;
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
