package org.radishpass.peer.message;

import java.io.IOException;
import java.util.Optional;

/**
 * Encodes envelopes as MessagePack and decodes them.
 *
 * @since 0.1.0
 */
public final class PeerCodec {
    private PeerCodec() {
        // static methods only
    }

    /**
     * Encodes an envelope.
     *
     * @param envelope the envelope
     * @throws IOException if the envelope cannot be encoded
     */
    public static byte[] encode(Envelope envelope) throws IOException {
        Optional<byte[]> bytes = RoutingMessageCodec.encode(envelope);
        return bytes.isPresent() ? bytes.get() : ReflectiveCodec.encode(envelope);
    }

    /**
     * Decodes an envelope.
     *
     * @param bytes the envelope in MessagePack
     * @throws IOException if the bytes are malformed or contain no message
     */
    public static Envelope decode(byte[] bytes) throws IOException {
        Optional<Envelope> decoded = RoutingMessageCodec.decode(bytes);
        Envelope envelope = decoded.isPresent() ? decoded.get() : ReflectiveCodec.decode(bytes);
        if (envelope == null || envelope.message() == null) {
            throw new IOException("the envelope has no message");
        }
        return envelope;
    }
}
