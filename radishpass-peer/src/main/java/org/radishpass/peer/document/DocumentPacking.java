package org.radishpass.peer.document;

import java.io.IOException;

/**
 * The encoding of a document in a message between routers. The order of the constants is part of the protocol.
 *
 * @since 0.4.0
 */
public enum DocumentPacking {
    /** The bytes of the document, unchanged. */
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
    /** The compressed document. A configuration of 1,500 routes shrinks to a seventh. */
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
    /** The compressed delta against a document that the receiver has: some hundred bytes for a change of one route. */
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
     * Encodes a document.
     *
     * @param base a document that the receiver has; only {@link #DELTA} uses it
     * @param document the document to encode
     */
    public abstract byte[] pack(byte[] base, byte[] document);

    /**
     * Decodes a document.
     *
     * @param base the document that the sender encoded against; only {@link #DELTA} uses it
     * @param packed the encoded document
     * @throws IOException if the encoding is malformed, or decompression produces more than {@link
     *     Compression#MAX_DOCUMENT_BYTES}
     */
    public abstract byte[] unpack(byte[] base, byte[] packed) throws IOException;
}
