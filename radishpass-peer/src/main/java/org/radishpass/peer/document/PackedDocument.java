package org.radishpass.peer.document;

import java.io.IOException;

/**
 * A document as it travels.
 *
 * @param packing how it is written
 * @param content what travels
 * @param hash the hash of the document
 * @param baseHash the hash of the document that it was packed against; empty for none
 * @since 0.4.0
 */
public record PackedDocument(DocumentPacking packing, byte[] content, String hash, String baseHash) {
    /**
     * Reads the document.
     *
     * @param base a document that the receiver has
     * @return the document; its hash is the one that was told
     * @throws IOException if it is malformed, was packed against another base, or is not the document that was told
     */
    public SharedDocument unpack(SharedDocument base) throws IOException {
        if (!baseHash.isEmpty() && !baseHash.equals(base.hash())) {
            throw new IOException("a document against a version that is not in force here any more");
        }
        SharedDocument document = SharedDocument.of(packing.unpack(base.bytes(), content));
        if (!hash.isEmpty() && !hash.equals(document.hash())) {
            throw new IOException("a document whose hash is not the one that was told");
        }
        return document;
    }
}
