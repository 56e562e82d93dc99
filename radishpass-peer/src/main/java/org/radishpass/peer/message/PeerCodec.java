package org.radishpass.peer.message;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import java.io.IOException;
import org.jspecify.annotations.Nullable;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Encodes envelopes as MessagePack and decodes them.
 *
 * @since 0.1.0
 */
public final class PeerCodec {
    private static final ObjectMapper MAPPER = new MessagePackMapper()
            .registerModule(new JavaTimeModule())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

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
        return MAPPER.writeValueAsBytes(envelope);
    }

    /**
     * Decodes an envelope.
     *
     * @param bytes the envelope in MessagePack
     * @throws IOException if the bytes are malformed or contain no message
     */
    public static Envelope decode(byte[] bytes) throws IOException {
        Envelope envelope = read(bytes);
        if (envelope == null || envelope.message() == null) {
            throw new IOException("the envelope has no message");
        }
        return envelope;
    }

    /**
     * Decodes bytes. The library throws unchecked exceptions on some malformed bytes, among them NullPointerException.
     */
    private static @Nullable Envelope read(byte[] bytes) throws IOException {
        try {
            return MAPPER.readValue(bytes, Envelope.class);
        } catch (RuntimeException e) {
            throw new IOException("malformed MessagePack: " + e.getMessage(), e);
        }
    }
}
