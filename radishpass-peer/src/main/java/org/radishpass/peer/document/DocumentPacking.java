package org.radishpass.peer.document;

import java.io.IOException;

/**
 * How a document is written for its way. The order is part of the protocol.
 *
 * @since 0.4.0
 */
public enum DocumentPacking {
    /** As it is. */
    PLAIN {
        @Override
        public byte[] pack(byte[] base, byte[] document) {
            return document.clone();
        }

        @Override
        public byte[] unpack(byte[] base, byte[] packed) {
            return packed.clone();
        }
    },
    /** Compressed: a seventh for a configuration of 1,500 routes. */
    COMPRESSED {
        @Override
        public byte[] pack(byte[] base, byte[] document) {
            return Compression.compress(document);
        }

        @Override
        public byte[] unpack(byte[] base, byte[] packed) throws IOException {
            return Compression.decompress(packed);
        }
    },
    /** What differs from a document that the receiver has, compressed: some hundred bytes for a change of one route. */
    DELTA {
        @Override
        public byte[] pack(byte[] base, byte[] document) {
            return Compression.compress(DocumentDelta.between(base, document));
        }

        @Override
        public byte[] unpack(byte[] base, byte[] packed) throws IOException {
            return DocumentDelta.apply(base, Compression.decompress(packed));
        }
    };

    /**
     * Writes a document.
     *
     * @param base a document that the receiver has; not used by all
     * @param document the document
     */
    public abstract byte[] pack(byte[] base, byte[] document);

    /**
     * Reads a document.
     *
     * @param base the document that it was packed against; not used by all
     * @param packed what came
     * @throws IOException if it is malformed or larger than {@link Compression#MOST_BYTES}
     */
    public abstract byte[] unpack(byte[] base, byte[] packed) throws IOException;
}
