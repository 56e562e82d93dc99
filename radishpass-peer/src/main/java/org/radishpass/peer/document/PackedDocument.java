package org.radishpass.peer.document;

import java.io.IOException;

/**
 * An encoded document, as routers send it.
 *
 * @param packing the encoding
 * @param content the encoded bytes
 * @param hash the hash of the decoded document; empty if the sender did not state it
 * @param baseHash the hash of the version that the document was encoded against; empty for none
 * @since 0.4.0
 */
public record PackedDocument(DocumentPacking packing, byte[] content, String hash, String baseHash) {
    /**
     * Decodes the document and checks its hash.
     *
     * @param base the version that the receiver has
     * @throws IOException if the encoding is malformed, its base is another version, or the hash of the result is not
     *     {@link #hash}
     */
    public SharedDocument unpack(SharedDocument base) throws IOException {
        if (!baseHash.isEmpty() && !baseHash.equals(base.hash())) {
            throw new IOException("the document was packed against a version that is no longer in use here");
        }
        SharedDocument document = SharedDocument.of(packing.unpack(base.bytes(), content));
        if (!hash.isEmpty() && !hash.equals(document.hash())) {
            throw new IOException("the hash of the document does not match the hash in the message");
        }
        return document;
    }
}
