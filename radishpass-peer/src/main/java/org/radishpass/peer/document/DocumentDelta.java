package org.radishpass.peer.document;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;

/**
 * What changes one document into another: parts that are copied from the first, and bytes between them. Blocks of the first are
 * found in the second by a rolling hash (Karp and Rabin), wherever they have moved to, and extended as far as both agree.
 *
 * <p>A sequence of instructions: a number of bytes and these bytes, then the number of bytes that are copied and where they stand in
 * the base, and so on. Numbers have 7 bits a byte, the lowest first.
 */
final class DocumentDelta {
    /**
     * Bytes of a block: a third of a route in a configuration, so that a changed field costs about one route, and over 10,000
     * blocks in one of 500 KB.
     */
    private static final int BLOCK = 32;

    /** The factor of the rolling hash: an odd number whose powers differ (that of FNV). */
    private static final int HASH_FACTOR = 0x01000193;

    private static final int NONE = -1;
    private static final int BITS = 7;
    private static final int MORE = 1 << BITS;

    private DocumentDelta() {
        // static methods only
    }

    static byte[] between(byte[] base, byte[] target) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        BlockIndex index = new BlockIndex(base);
        int literalStart = 0;
        int position = 0;
        int hash = 0;
        boolean hashed = false;
        while (position + BLOCK <= target.length) {
            hash = hashed ? roll(hash, target[position - 1], target[position + BLOCK - 1]) : hash(target, position);
            hashed = true;
            int found = index.find(hash, target, position);
            if (found == NONE) {
                position++;
                continue;
            }
            int before = commonBefore(base, found, target, position, literalStart);
            int length = before + common(base, found, target, position);
            writeLiteral(out, target, literalStart, position - before);
            writeNumber(out, length);
            writeNumber(out, found - before);
            position += length - before;
            literalStart = position;
            hashed = false;
        }
        if (literalStart < target.length) {
            writeLiteral(out, target, literalStart, target.length);
        }
        return out.toByteArray();
    }

    /**
     * Applies a delta.
     *
     * @param base the document that it was made against
     * @param delta the instructions
     * @throws IOException if they are malformed, or do not fit the base
     */
    static byte[] apply(byte[] base, byte[] delta) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream(base.length);
        Reader reader = new Reader(delta);
        while (reader.more()) {
            reader.copy(reader.number(), out);
            if (!reader.more()) {
                break;
            }
            int length = reader.number();
            int from = reader.number();
            if (length > base.length - from || out.size() + (long) length > Compression.MOST_BYTES) {
                throw new IOException("a delta that does not fit its base");
            }
            out.write(base, from, length);
        }
        return out.toByteArray();
    }

    private static int commonBefore(byte[] base, int found, byte[] target, int position, int least) {
        int count = 0;
        while (found - count > 0
                && position - count > least
                && base[found - count - 1] == target[position - count - 1]) {
            count++;
        }
        return count;
    }

    private static int common(byte[] base, int found, byte[] target, int position) {
        int mismatch = Arrays.mismatch(base, found, base.length, target, position, target.length);
        return mismatch < 0 ? base.length - found : mismatch;
    }

    private static void writeLiteral(ByteArrayOutputStream out, byte[] target, int start, int end) {
        writeNumber(out, end - start);
        out.write(target, start, end - start);
    }

    private static void writeNumber(ByteArrayOutputStream out, int number) {
        int rest = number;
        while (rest >= MORE) {
            out.write(rest | MORE);
            rest >>>= BITS;
        }
        out.write(rest);
    }

    private static int hash(byte[] bytes, int start) {
        int hash = 0;
        for (int offset = 0; offset < BLOCK; offset++) {
            hash = hash * HASH_FACTOR + bytes[start + offset];
        }
        return hash;
    }

    private static int roll(int hash, byte leaving, byte coming) {
        return (hash - leaving * BlockIndex.LEAVING_FACTOR) * HASH_FACTOR + coming;
    }

    /** The blocks of a base by their hashes. */
    private static final class BlockIndex {
        /** The factor of a block's first byte in its hash. */
        private static final int LEAVING_FACTOR = power(HASH_FACTOR, BLOCK - 1);

        private static final int SLOTS_A_BLOCK = 4;

        /** Spreads hashes over the slots (Knuth): 2 to the power of 32 over the golden ratio. */
        private static final int SPREAD = 0x9E3779B9;

        /** The low bits of the product are not spread well. */
        private static final int SPREAD_SHIFT = 8;

        private final byte[] base;
        private final int[] slots;

        private BlockIndex(byte[] base) {
            this.base = base;
            int size = Integer.highestOneBit(Math.max(1, base.length / BLOCK)) * SLOTS_A_BLOCK;
            this.slots = new int[size];
            Arrays.fill(slots, NONE);
            for (int start = base.length / BLOCK * BLOCK - BLOCK; start >= 0; start -= BLOCK) {
                slots[slot(hash(base, start))] = start;
            }
        }

        private int find(int hash, byte[] target, int position) {
            int start = slots[slot(hash)];
            boolean same =
                    start != NONE && Arrays.equals(base, start, start + BLOCK, target, position, position + BLOCK);
            return same ? start : NONE;
        }

        private int slot(int hash) {
            return ((hash * SPREAD) >>> SPREAD_SHIFT) & (slots.length - 1);
        }

        private static int power(int factor, int exponent) {
            int product = 1;
            for (int count = 0; count < exponent; count++) {
                product *= factor;
            }
            return product;
        }
    }

    /** Reads instructions. */
    private static final class Reader {
        private final byte[] delta;
        private int position;

        private Reader(byte[] delta) {
            this.delta = delta;
        }

        private boolean more() {
            return position < delta.length;
        }

        private int number() throws IOException {
            int number = 0;
            for (int shift = 0; shift <= 3 * BITS; shift += BITS) {
                if (!more()) {
                    throw new IOException("a delta that ends early");
                }
                int next = delta[position++];
                number |= (next & (MORE - 1)) << shift;
                if (next >= 0) {
                    return number;
                }
            }
            throw new IOException("a number of a delta that is too large");
        }

        private void copy(int count, ByteArrayOutputStream out) throws IOException {
            if (count > delta.length - position) {
                throw new IOException("a delta that ends early");
            }
            out.write(delta, position, count);
            position += count;
        }
    }
}
