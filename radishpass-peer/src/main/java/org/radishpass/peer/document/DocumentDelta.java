package org.radishpass.peer.document;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;

/**
 * Computes and applies binary deltas. A delta builds a target document from ranges that are copied from a base document
 * and from literal bytes between them. A rolling hash (Rabin-Karp) finds blocks of the base in the target, wherever
 * they have moved to. Each match is extended in both directions as far as the documents agree.
 *
 * <p>A delta alternates between two instructions, the first of them a literal. A literal is its length and its bytes. A
 * copy is its length and its offset in the base. Numbers are variable-length integers of 7 bits a byte, the lowest bits
 * first.
 */
final class DocumentDelta {
    /**
     * The length of a block in bytes: a third of a route in a configuration. A changed field then adds about one route
     * to the delta, and a configuration of 500 KB has over 10,000 blocks.
     */
    private static final int BLOCK_BYTES = 32;

    /** The multiplier of the rolling hash: the FNV prime, an odd number whose powers differ. */
    private static final int HASH_FACTOR = 0x01000193;

    private static final int NOT_FOUND = -1;
    private static final int VARINT_PAYLOAD_BITS = 7;
    private static final int VARINT_CONTINUATION_BIT = 1 << VARINT_PAYLOAD_BITS;

    private DocumentDelta() {
        // static methods only
    }

    /**
     * Computes the delta between two documents.
     *
     * @param base the document that the receiver has
     * @param target the document that the delta produces
     */
    static byte[] between(byte[] base, byte[] target) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        BlockIndex index = new BlockIndex(base);
        int literalStart = 0;
        int position = 0;
        int hash = 0;
        boolean hashed = false;
        while (position + BLOCK_BYTES <= target.length) {
            hash = hashed
                    ? roll(hash, target[position - 1], target[position + BLOCK_BYTES - 1])
                    : hash(target, position);
            hashed = true;
            int matchStart = index.find(hash, target, position);
            if (matchStart == NOT_FOUND) {
                position++;
                continue;
            }
            int extension = matchLengthBefore(base, matchStart, target, position, literalStart);
            int length = extension + matchLengthFrom(base, matchStart, target, position);
            writeLiteral(out, target, literalStart, position - extension);
            writeVarint(out, length);
            writeVarint(out, matchStart - extension);
            position += length - extension;
            literalStart = position;
            hashed = false;
        }
        if (literalStart < target.length) {
            writeLiteral(out, target, literalStart, target.length);
        }
        return out.toByteArray();
    }

    /**
     * Applies a delta and returns the target document.
     *
     * @param base the document that the delta was computed against
     * @param delta the delta
     * @throws IOException if the delta is malformed, copies from outside the base, or copies beyond {@link
     *     Compression#MAX_DOCUMENT_BYTES}
     */
    static byte[] apply(byte[] base, byte[] delta) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream(base.length);
        Reader reader = new Reader(delta);
        while (reader.hasMore()) {
            reader.copyLiteral(reader.readVarint(), out);
            if (!reader.hasMore()) {
                break;
            }
            int length = reader.readVarint();
            int from = reader.readVarint();
            if (length > base.length - from || out.size() + (long) length > Compression.MAX_DOCUMENT_BYTES) {
                throw new IOException("the delta does not fit its base");
            }
            out.write(base, from, length);
        }
        return out.toByteArray();
    }

    private static int matchLengthBefore(byte[] base, int matchStart, byte[] target, int position, int minPosition) {
        int count = 0;
        while (matchStart - count > 0
                && position - count > minPosition
                && base[matchStart - count - 1] == target[position - count - 1]) {
            count++;
        }
        return count;
    }

    private static int matchLengthFrom(byte[] base, int matchStart, byte[] target, int position) {
        int mismatch = Arrays.mismatch(base, matchStart, base.length, target, position, target.length);
        return mismatch < 0 ? base.length - matchStart : mismatch;
    }

    private static void writeLiteral(ByteArrayOutputStream out, byte[] target, int start, int end) {
        writeVarint(out, end - start);
        out.write(target, start, end - start);
    }

    private static void writeVarint(ByteArrayOutputStream out, int number) {
        int remaining = number;
        while (remaining >= VARINT_CONTINUATION_BIT) {
            out.write(remaining | VARINT_CONTINUATION_BIT);
            remaining >>>= VARINT_PAYLOAD_BITS;
        }
        out.write(remaining);
    }

    private static int hash(byte[] bytes, int start) {
        int hash = 0;
        for (int offset = 0; offset < BLOCK_BYTES; offset++) {
            hash = hash * HASH_FACTOR + bytes[start + offset];
        }
        return hash;
    }

    private static int roll(int hash, byte outgoing, byte incoming) {
        return (hash - outgoing * BlockIndex.OUTGOING_BYTE_FACTOR) * HASH_FACTOR + incoming;
    }

    /** An index of the blocks of a base by hash. Of the blocks that share a slot, the first in the base is kept. */
    private static final class BlockIndex {
        /**
         * The factor of the first byte of a block in its hash; the rolling hash subtracts that byte when the window
         * moves.
         */
        private static final int OUTGOING_BYTE_FACTOR = power(HASH_FACTOR, BLOCK_BYTES - 1);

        private static final int SLOTS_PER_BLOCK = 4;

        /**
         * Distributes hashes over the slots (Knuth's multiplicative hashing): 2 to the power of 32, divided by the
         * golden ratio.
         */
        private static final int SLOT_HASH_MULTIPLIER = 0x9E3779B9;

        /** Drops the low bits of the product, which are poorly distributed. */
        private static final int SLOT_HASH_SHIFT = 8;

        private final byte[] base;
        private final int[] slots;

        private BlockIndex(byte[] base) {
            this.base = base;
            int size = Integer.highestOneBit(Math.max(1, base.length / BLOCK_BYTES)) * SLOTS_PER_BLOCK;
            this.slots = new int[size];
            Arrays.fill(slots, NOT_FOUND);
            for (int start = base.length / BLOCK_BYTES * BLOCK_BYTES - BLOCK_BYTES; start >= 0; start -= BLOCK_BYTES) {
                slots[slot(hash(base, start))] = start;
            }
        }

        private int find(int hash, byte[] target, int position) {
            int start = slots[slot(hash)];
            boolean matches = start != NOT_FOUND
                    && Arrays.equals(base, start, start + BLOCK_BYTES, target, position, position + BLOCK_BYTES);
            return matches ? start : NOT_FOUND;
        }

        private int slot(int hash) {
            return ((hash * SLOT_HASH_MULTIPLIER) >>> SLOT_HASH_SHIFT) & (slots.length - 1);
        }

        private static int power(int factor, int exponent) {
            int product = 1;
            for (int count = 0; count < exponent; count++) {
                product *= factor;
            }
            return product;
        }
    }

    /** Reads the instructions of a delta. */
    private static final class Reader {
        private final byte[] delta;
        private int position;

        private Reader(byte[] delta) {
            this.delta = delta;
        }

        private boolean hasMore() {
            return position < delta.length;
        }

        private int readVarint() throws IOException {
            int number = 0;
            for (int shift = 0; shift <= 3 * VARINT_PAYLOAD_BITS; shift += VARINT_PAYLOAD_BITS) {
                if (!hasMore()) {
                    throw new IOException("the delta is truncated");
                }
                int next = delta[position++];
                number |= (next & (VARINT_CONTINUATION_BIT - 1)) << shift;
                if (next >= 0) {
                    return number;
                }
            }
            throw new IOException("the delta contains a number that is too large");
        }

        private void copyLiteral(int count, ByteArrayOutputStream out) throws IOException {
            if (count > delta.length - position) {
                throw new IOException("the delta is truncated");
            }
            out.write(delta, position, count);
            position += count;
        }
    }
}
