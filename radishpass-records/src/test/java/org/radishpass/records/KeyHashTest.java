package org.radishpass.records;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the salted hash of API keys. */
final class KeyHashTest {
    @Test
    void onlyTheHashedSecretMatches() {
        KeyHash hash = KeyHash.of("salt", "secret");

        assertThat(hash.matches("secret")).isTrue();
        assertThat(hash.matches("Secret")).isFalse();
        assertThat(hash.matches("")).isFalse();
    }

    @Test
    void toStringHidesTheHash() {
        KeyHash hash = KeyHash.of("salt", "secret");

        assertThat(hash.toString()).doesNotContain(hash.sha256());
    }
}
