package org.radishpass.peer.message;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import java.io.IOException;
import org.jspecify.annotations.Nullable;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Encodes and decodes all messages by reflection. In a class of its own, so that a router that exchanges only
 * frequent messages does not initialise it.
 */
final class ReflectiveCodec {
    private static final ObjectMapper MAPPER = new MessagePackMapper()
            .registerModule(new JavaTimeModule())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private ReflectiveCodec() {
        // static methods only
    }

    static byte[] encode(Envelope envelope) throws IOException {
        return MAPPER.writeValueAsBytes(envelope);
    }

    /**
     * Decodes bytes. The library throws unchecked exceptions on some malformed bytes, among them NullPointerException, and
     * allocates any length that they state.
     */
    static @Nullable Envelope decode(byte[] bytes) throws IOException {
        StatedLengths.check(bytes);
        try {
            return MAPPER.readValue(bytes, Envelope.class);
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError e) {
            throw new IOException("malformed MessagePack: " + e.getMessage(), e);
        }
    }
}
