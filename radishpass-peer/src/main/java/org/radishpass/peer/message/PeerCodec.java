package org.radishpass.peer.message;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import java.io.IOException;
import org.jspecify.annotations.Nullable;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Turns envelopes into MessagePack and back.
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
     * Writes an envelope.
     *
     * @param envelope the envelope
     * @throws IOException if it cannot be written
     */
    public static byte[] encode(Envelope envelope) throws IOException {
        return MAPPER.writeValueAsBytes(envelope);
    }

    /**
     * Reads an envelope.
     *
     * @param bytes the MessagePack
     * @throws IOException if it is malformed
     */
    public static Envelope decode(byte[] bytes) throws IOException {
        Envelope envelope = read(bytes);
        if (envelope == null || envelope.message() == null) {
            throw new IOException("an envelope without a message");
        }
        return envelope;
    }

    /** The library answers some malformed bytes with unchecked exceptions, a null pointer among them. */
    private static @Nullable Envelope read(byte[] bytes) throws IOException {
        try {
            return MAPPER.readValue(bytes, Envelope.class);
        } catch (RuntimeException e) {
            throw new IOException("malformed MessagePack: " + e.getMessage(), e);
        }
    }
}
