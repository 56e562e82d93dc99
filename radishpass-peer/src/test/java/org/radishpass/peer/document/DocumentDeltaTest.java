package org.radishpass.peer.document;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Checks that applying a delta restores the target document, and that small changes give small deltas. */
final class DocumentDeltaTest {
    private static final int ATTEMPTS = 300;

    private final Random random = new Random(20_261_203);

    @Test
    void applyingADeltaRestoresTheTarget() throws IOException {
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            byte[] base = bytes(random.nextInt(3_000));
            byte[] target = edited(base);
            assertWithMessage("attempt %s", attempt)
                    .that(DocumentDelta.apply(base, DocumentDelta.between(base, target)))
                    .isEqualTo(target);
        }
    }

    @Test
    void emptyDocumentsAreSupported() throws IOException {
        byte[] empty = {};
        byte[] document = bytes(100);

        assertThat(DocumentDelta.apply(empty, DocumentDelta.between(empty, document)))
                .isEqualTo(document);
        assertThat(DocumentDelta.apply(document, DocumentDelta.between(document, empty)))
                .isEqualTo(empty);
        assertThat(DocumentDelta.apply(empty, DocumentDelta.between(empty, empty)))
                .isEqualTo(empty);
    }

    @Test
    void aChangeOfOneRouteOf1500GivesASmallDelta() {
        byte[] base = routes(1_500, -1);
        byte[] target = routes(1_500, 700);

        assertThat(DocumentPacking.DELTA.pack(base, target).length).isAtMost(200);
    }

    @Test
    void aRouteAddedAtTheFrontGivesASmallDelta() {
        byte[] base = routes(1_500, -1);
        byte[] target = ("{\"name\":\"new\",\"host\":\"n.example\"}\n" + new String(base, StandardCharsets.UTF_8))
                .getBytes(StandardCharsets.UTF_8);

        assertThat(DocumentPacking.DELTA.pack(base, target).length).isAtMost(200);
    }

    @Test
    void aDamagedDeltaFailsOrStillGivesTheTarget() {
        byte[] base = routes(20, -1);
        SharedDocument document = SharedDocument.of(routes(20, 7));
        byte[] intact = DocumentPacking.DELTA.pack(base, document.bytes());
        SharedDocument sharedBase = SharedDocument.of(base);
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            byte[] damaged = intact.clone();
            damaged[random.nextInt(damaged.length)] ^= (byte) (1 + random.nextInt(255));
            PackedDocument packed =
                    new PackedDocument(DocumentPacking.DELTA, damaged, document.hash(), sharedBase.hash());
            assertSameOrError(packed, sharedBase, document);
        }
    }

    @Test
    void aTruncatedDeltaFailsOrGivesAnotherDocument() throws IOException {
        byte[] base = routes(20, -1);
        byte[] target = routes(20, 7);
        byte[] delta = DocumentDelta.between(base, target);
        for (int length = 0; length < delta.length; length++) {
            byte[] truncated = Arrays.copyOf(delta, length);
            try {
                assertThat(DocumentDelta.apply(base, truncated)).isNotEqualTo(target);
            } catch (IOException e) {
                assertThat(e).hasMessageThat().contains("delta");
            }
        }
    }

    @Test
    void aCopyBeyondTheEndOfTheBaseFails() {
        byte[] delta = {0, 100, 0};

        assertThrows(IOException.class, () -> DocumentDelta.apply(new byte[50], delta));
    }

    private static void assertSameOrError(PackedDocument packed, SharedDocument base, SharedDocument document) {
        try {
            assertThat(packed.unpack(base).bytes()).isEqualTo(document.bytes());
        } catch (IOException e) {
            assertThat(e).hasMessageThat().isNotEmpty();
        }
    }

    private byte[] edited(byte[] base) {
        byte[] target = base.clone();
        for (int change = random.nextInt(4); change >= 0; change--) {
            int from = random.nextInt(target.length + 1);
            int to = from + random.nextInt(target.length - from + 1);
            byte[] inserted = bytes(random.nextInt(80));
            byte[] next = new byte[target.length - (to - from) + inserted.length];
            System.arraycopy(target, 0, next, 0, from);
            System.arraycopy(inserted, 0, next, from, inserted.length);
            System.arraycopy(target, to, next, from + inserted.length, target.length - to);
            target = next;
        }
        return target;
    }

    private byte[] bytes(int count) {
        byte[] bytes = new byte[count];
        random.nextBytes(bytes);
        return bytes;
    }

    /**
     * Returns a configuration with one route per line. The route with the index {@code changed} has another timeout.
     */
    private static byte[] routes(int count, int changed) {
        Random names = new Random(11);
        StringBuilder text = new StringBuilder();
        for (int route = 0; route < count; route++) {
            text.append("{\"host\":\"")
                    .append(Long.toString(names.nextLong(1L << 50), 36))
                    .append(".example\",\"service\":\"orders\",\"timeout_ms\":")
                    .append(route == changed ? 900 : 4_000)
                    .append("}\n");
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }
}
