package org.radishpass.peer.document;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Checks what those are given that have an older version, another document or none. */
final class DocumentPackerTest {
    private final DocumentHistory history = new DocumentHistory();
    private final DocumentPacker packer = new DocumentPacker();

    @Test
    void whoHasNothingIsGivenTheWholeCompressed() throws IOException {
        SharedDocument newest = add("a".repeat(5_000));

        PackedDocument packed = packer.pack(history, "");

        assertThat(packed.packing()).isEqualTo(DocumentPacking.COMPRESSED);
        assertThat(packed.content().length).isLessThan(100);
        assertThat(packed.unpack(SharedDocument.NONE).hash()).isEqualTo(newest.hash());
    }

    @Test
    void whoHasAnOlderVersionIsGivenWhatHasChanged() throws IOException {
        SharedDocument old = add("one");
        add("two");
        SharedDocument newest = add("three");

        PackedDocument packed = packer.pack(history, old.hash());

        assertThat(packed.packing()).isEqualTo(DocumentPacking.DELTA);
        assertThat(packed.unpack(old).hash()).isEqualTo(newest.hash());
    }

    @Test
    void whoHasAVersionThatIsNotKnownIsGivenTheWhole() {
        add("one");

        assertThat(packer.pack(history, SharedDocument.of(bytes("other")).hash())
                        .packing())
                .isEqualTo(DocumentPacking.COMPRESSED);
    }

    @Test
    void oneVersionIsPackedOnceForAllThatHaveTheSame() {
        SharedDocument old = add("one");
        add("two");

        assertThat(packer.pack(history, old.hash())).isSameInstanceAs(packer.pack(history, old.hash()));
    }

    @Test
    void aDocumentAgainstAnotherBaseIsNotTaken() {
        SharedDocument old = add("one");
        add("two");
        PackedDocument packed = packer.pack(history, old.hash());

        assertThrows(IOException.class, () -> packed.unpack(SharedDocument.of(bytes("other"))));
    }

    @Test
    void aDocumentWithAnotherHashIsNotTaken() {
        PackedDocument forged = new PackedDocument(
                DocumentPacking.PLAIN,
                bytes("forged"),
                SharedDocument.of(bytes("true")).hash(),
                "");

        assertThrows(IOException.class, () -> forged.unpack(SharedDocument.NONE));
    }

    @Test
    void aBombIsNotUnpacked() {
        byte[] bomb = Compression.compress(new byte[Compression.MOST_BYTES + 1]);

        assertThrows(IOException.class, () -> Compression.decompress(bomb));
    }

    @Test
    void oldVersionsAreForgottenByNumberAndBySize() {
        SharedDocument first = add("first");
        for (int version = 0; version < DocumentHistory.MOST_VERSIONS; version++) {
            add("version " + version);
        }
        assertThat(history.find(first.hash())).isEmpty();

        SharedDocument large = add("x".repeat(DocumentHistory.MOST_OLD_BYTES + 1));
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
