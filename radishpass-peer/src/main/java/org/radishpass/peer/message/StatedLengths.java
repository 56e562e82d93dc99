package org.radishpass.peer.message;

import java.io.IOException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Checks that MessagePack holds the lengths that it states, before a decoder allocates them: five bytes may state 2 GB.
 *
 * @since 0.16.0
 */
public final class StatedLengths {
    private StatedLengths() {
        // static methods only
    }

    /**
     * Skips the first value without allocating its parts.
     *
     * @param bytes the value in MessagePack
     * @throws IOException if the value is longer than the bytes
     */
    public static void check(byte[] bytes) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            unpacker.skipValue();
        } catch (MessagePackException e) {
            throw new IOException("malformed MessagePack: " + e.getMessage(), e);
        }
    }
}
