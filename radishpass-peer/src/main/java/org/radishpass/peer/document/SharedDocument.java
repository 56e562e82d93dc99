package org.radishpass.peer.document;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.jspecify.annotations.Nullable;

/**
 * A document that is given to others, and the hash by which they know it. Its bytes must not be changed. Belongs to one thread.
 *
 * @since 0.4.0
 */
public final class SharedDocument {
    /** No document. */
    public static final SharedDocument NONE = new SharedDocument(new byte[0], "");

    private final byte[] bytes;
    private @Nullable String hash;

    private SharedDocument(byte[] bytes, @Nullable String hash) {
        this.bytes = bytes;
        this.hash = hash;
    }

    /**
     * Takes a document over.
     *
     * @param bytes its bytes, which must not be changed any more
     */
    public static SharedDocument of(byte[] bytes) {
        return new SharedDocument(bytes, null);
    }

    /** Returns its bytes, which must not be changed. */
    public byte[] bytes() {
        return bytes;
    }

    /**
     * Returns the hash of its bytes; empty for no document. It is computed when it is first asked for: right after a start that takes 23 ms
     * for 670 KB, and the first callers wait.
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
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
