package org.radishpass.routing.quarantine;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which requests have equal fingerprints, and that the text form in logs is shortened. */
final class RequestFingerprintTest {
    private static final RequestFingerprint ONE = fingerprint("harbour-lab", "POST", "api", "/chat/?q=1", "hello");

    @Test
    void equalRequestsHaveEqualFingerprintsHoweverTheirBodiesAreBuffered() {
        ByteBuf inParts = Unpooled.compositeBuffer()
                .addComponent(true, bytes("he"))
                .addComponent(true, bytes(""))
                .addComponent(true, bytes("llo"));
        assertThat(RequestFingerprint.of("harbour-lab", "POST", "api", "/chat/?q=1", inParts))
                .isEqualTo(ONE);
        assertThat(inParts.readableBytes()).isEqualTo(5);
    }

    @Test
    void requestsThatDifferInOnePartHaveDifferentFingerprints() {
        List<RequestFingerprint> others = List.of(
                fingerprint("met-service", "POST", "api", "/chat/?q=1", "hello"),
                fingerprint("harbour-lab", "PUT", "api", "/chat/?q=1", "hello"),
                fingerprint("harbour-lab", "POST", "other", "/chat/?q=1", "hello"),
                fingerprint("harbour-lab", "POST", "api", "/chat/?q=2", "hello"),
                fingerprint("harbour-lab", "POST", "ap", "i/chat/?q=1", "hello"),
                fingerprint("harbour-lab", "POST", "api", "/chat/?q=1", "hello "));
        assertThat(others).doesNotContain(ONE);
        assertThat(others).containsNoDuplicates();
    }

    @Test
    void theWorkspacePartDependsOnTheWorkspaceOnly() {
        assertThat(fingerprint("harbour-lab", "GET", "api", "/", "").workspace())
                .isEqualTo(ONE.workspace());
        assertThat(fingerprint("", "POST", "api", "/chat/?q=1", "hello").workspace())
                .isNotEqualTo(ONE.workspace());
    }

    @Test
    void theTextFormShowsThirtyTwoBitsOfEachPart() {
        assertThat(ONE.toString()).matches("[0-9a-f]{8}-[0-9a-f]{8}-[0-9a-f]{8}");
    }

    private static RequestFingerprint fingerprint(
            String workspace, String method, String host, String uri, String body) {
        return RequestFingerprint.of(workspace, method, host, uri, bytes(body));
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }
}
