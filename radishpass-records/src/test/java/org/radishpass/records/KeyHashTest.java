package org.radishpass.records;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Checks that keys are known by their salted hash alone. */
final class KeyHashTest {
    @Test
    void onlyTheRightSecretMatches() {
        KeyHash hash = KeyHash.of("salt", "secret");

        assertThat(hash.matches("secret")).isTrue();
        assertThat(hash.matches("Secret")).isFalse();
        assertThat(hash.matches("")).isFalse();
    }

    @Test
    void theHashIsNotShown() {
        KeyHash hash = KeyHash.of("salt", "secret");

        assertThat(hash.toString()).doesNotContain(hash.sha256());
    }
}
