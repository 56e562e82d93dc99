package org.radishpass.records;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The salted hash of a caller's key.
 *
 * @param salt the salt
 * @param sha256 the hash of salt and secret, in hexadecimal
 * @since 0.1.0
 */
public record KeyHash(String salt, String sha256) {
    /**
     * Hashes a secret.
     *
     * @param salt the salt
     * @param secret the secret
     */
    public static KeyHash of(String salt, String secret) {
        return new KeyHash(salt, HexFormat.of().formatHex(digest(salt + secret)));
    }

    /**
     * Tells whether this is the hash of a secret, in a time that does not depend on where they differ.
     *
     * @param secret the secret
     */
    public boolean matches(String secret) {
        byte[] expected = sha256.getBytes(StandardCharsets.US_ASCII);
        byte[] actual = of(salt, secret).sha256.getBytes(StandardCharsets.US_ASCII);
        return MessageDigest.isEqual(expected, actual);
    }

    private static byte[] digest(String text) {
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
