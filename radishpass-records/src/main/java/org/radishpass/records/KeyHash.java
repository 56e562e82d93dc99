package org.radishpass.records;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The salted hash of the secret part of a caller's API key.
 *
 * @param salt the salt that is stored with the hash
 * @param sha256 the SHA-256 of salt and secret together, in hexadecimal
 * @since 0.1.0
 */
public record KeyHash(String salt, String sha256) {
    /**
     * Returns the hash of a secret.
     *
     * @param salt the salt that is stored with the hash
     * @param secret the secret
     */
    public static KeyHash of(String salt, String secret) {
        return new KeyHash(salt, HexFormat.of().formatHex(sha256Digest(salt + secret)));
    }

    /**
     * Tells whether this is the hash of a secret. The comparison takes constant time, to prevent timing attacks.
     *
     * @param secret the secret
     */
    public boolean matches(String secret) {
        byte[] expected = sha256.getBytes(StandardCharsets.US_ASCII);
        byte[] actual = of(salt, secret).sha256.getBytes(StandardCharsets.US_ASCII);
        return MessageDigest.isEqual(expected, actual);
    }

    private static byte[] sha256Digest(String text) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    @Override
    public String toString() {
        return "KeyHash[hidden]";
    }
}
