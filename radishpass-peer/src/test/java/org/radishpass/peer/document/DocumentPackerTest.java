package org.radishpass.peer.document;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/**
 * Checks the encoding for receivers that have an older version, an unknown version or none, and the checks on decoding.
 */
final class DocumentPackerTest {
    private final DocumentHistory history = new DocumentHistory();
    private final DocumentPacker packer = new DocumentPacker();

    @Test
    void aReceiverWithoutAVersionGetsTheCompressedDocument() throws IOException {
        SharedDocument newest = add("a".repeat(5_000));

        PackedDocument packed = packer.pack(history, "");

        assertThat(packed.packing()).isEqualTo(DocumentPacking.COMPRESSED);
        assertThat(packed.content().length).isLessThan(100);
        assertThat(packed.unpack(SharedDocument.NONE).hash()).isEqualTo(newest.hash());
    }

    @Test
    void aReceiverWithAnOlderVersionGetsADelta() throws IOException {
        SharedDocument old = add("one");
        add("two");
        SharedDocument newest = add("three");

        PackedDocument packed = packer.pack(history, old.hash());

        assertThat(packed.packing()).isEqualTo(DocumentPacking.DELTA);
        assertThat(packed.unpack(old).hash()).isEqualTo(newest.hash());
    }

    @Test
    void aReceiverWithAnUnknownVersionGetsTheCompressedDocument() {
        add("one");

        assertThat(packer.pack(history, SharedDocument.of(bytes("other")).hash())
                        .packing())
                .isEqualTo(DocumentPacking.COMPRESSED);
    }

    @Test
    void aDocumentIsPackedOnlyOncePerBaseVersion() {
        SharedDocument old = add("one");
        add("two");

        assertThat(packer.pack(history, old.hash())).isSameInstanceAs(packer.pack(history, old.hash()));
    }

    @Test
    void aDeltaAgainstAnotherBaseIsRejected() {
        SharedDocument old = add("one");
        add("two");
        PackedDocument packed = packer.pack(history, old.hash());

        assertThrows(IOException.class, () -> packed.unpack(SharedDocument.of(bytes("other"))));
    }

    @Test
    void aDocumentWithAWrongHashIsRejected() {
        PackedDocument forged = new PackedDocument(
                DocumentPacking.PLAIN,
                bytes("forged"),
                SharedDocument.of(bytes("true")).hash(),
                "");

        assertThrows(IOException.class, () -> forged.unpack(SharedDocument.NONE));
    }

    @Test
    void aDecompressionBombIsRejected() {
        byte[] bomb = Compression.compress(new byte[Compression.MAX_DOCUMENT_BYTES + 1]);

        assertThrows(IOException.class, () -> Compression.decompress(bomb));
    }

    @Test
    void oldVersionsAreEvictedByCountAndBySize() {
        SharedDocument first = add("first");
        for (int version = 0; version < DocumentHistory.MAX_VERSIONS; version++) {
            add("version " + version);
        }
        assertThat(history.find(first.hash())).isEmpty();

        SharedDocument large = add("x".repeat(DocumentHistory.MAX_OLD_BYTES + 1));
        assertThat(history.newest()).isSameInstanceAs(large);
        SharedDocument next = add("next");
        assertThat(history.find(large.hash())).isEmpty();
        assertThat(history.newest()).isSameInstanceAs(next);
    }

    private SharedDocument add(String text) {
        SharedDocument document = SharedDocument.of(bytes(text));
        history.add(document);
        return document;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
