package org.radishpass.peer.message;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Checks that a message with lengths that it does not hold, numbers that are too large or deep nesting is rejected, on a thread
 * with the stack of the deployed processes.
 */
final class OddMessageTest {
    private static final int DEPLOYED_STACK_BYTES = 256 * 1_024;
    private static final int PATIENCE_SECONDS = 20;
    private static final int DEEP = 100_000;

    /** The formats of MessagePack that state a length of 32 bits: binary, extension, string, array and map. */
    private static final List<Integer> LONG_FORMATS = List.of(0xC6, 0xC9, 0xDB, 0xDD, 0xDF);

    private static final List<Integer> LENGTHS =
            List.of(Integer.MAX_VALUE, Integer.MAX_VALUE - 8, -1, Integer.MIN_VALUE);

    /** Guards against an allocation of the stated length, which ended the work of the thread that reads messages of peers. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "h", "v", "cw", "c", "s", "sr", "f", "sh", "p", "pt", "e", "l", "t", "td", "d", "rs", "rl", "in", "dw",
                "do", "sq", "so", "sw", "sf", "sv", "unknown"
            })
    void aStatedLengthIsNotAllocated(String type) throws Exception {
        for (int format : LONG_FORMATS) {
            for (int length : LENGTHS) {
                byte[] value = ByteBuffer.allocate(6)
                        .put((byte) format)
                        .putInt(length)
                        .put((byte) 1)
                        .array();
                for (int before = 0; before <= 6; before++) {
                    assertRejectedOrRead(type, before, value);
                }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"h", "c", "e", "t", "td", "rs", "rl", "in", "dw", "do", "sq", "so", "sf", "sv", "unknown"})
    void deepNestingIsRejectedOrSkipped(String type) throws Exception {
        byte[] arrays = new byte[DEEP];
        java.util.Arrays.fill(arrays, (byte) 0x91);
        byte[] maps = new byte[2 * DEEP];
        for (int depth = 0; depth < DEEP; depth++) {
            maps[2 * depth] = (byte) 0x81;
            maps[2 * depth + 1] = 1;
        }
        for (byte[] value : List.of(arrays, maps)) {
            for (int before = 0; before <= 6; before++) {
                assertRejectedOrRead(type, before, value);
            }
        }
    }

    /** Reads a message whose components are zeros, or an empty string, and then something odd. */
    private static void assertRejectedOrRead(String type, int before, byte[] odd) throws Exception {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(2).packLong(1).packArrayHeader(2).packString(type);
            if (before > 0) {
                packer.packArrayHeader(before);
            }
            for (int component = 1; component < before; component++) {
                packer.packInt(0);
            }
            ByteArrayOutputStream message = new ByteArrayOutputStream();
            message.writeBytes(packer.toByteArray());
            message.writeBytes(odd);
            Throwable failure = failureOnDeployedStack(message.toByteArray());
            assertWithMessage("%s after %s components: %s", type, before, failure)
                    .that(failure instanceof Error || failure instanceof RuntimeException)
                    .isFalse();
        }
    }

    private static Throwable failureOnDeployedStack(byte[] message) throws Exception {
        FutureTask<Throwable> result = new FutureTask<>(() -> {
            try {
                PeerCodec.decode(message);
                return new IOException("none");
            } catch (Throwable failure) {
                return failure;
            }
        });
        new Thread(null, result, "small-stack", DEPLOYED_STACK_BYTES).start();
        return result.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }
}
