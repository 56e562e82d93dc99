package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackMapper;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.fleet.StorePosition;

/** Checks that a list of another router is read or rejected whatever it holds, on threads with the stack of the deployed processes. */
final class OddEndpointListTest {
    private static final ObjectMapper MAPPER = new MessagePackMapper();
    private static final int DEPLOYED_STACK_BYTES = 256 * 1_024;
    private static final int PATIENCE_SECONDS = 20;
    private static final int ENTRIES = 3;
    private static final int DEEP = 100_000;

    /** Guards against one nil entry that hides all other endpoints of a router's list. */
    @Test
    void aNilEntryDoesNotHideTheOthers() throws Exception {
        ArrayNode list = (ArrayNode) MAPPER.readTree(EndpointListCodec.encode(list()));
        ((ArrayNode) list.get(ENTRIES)).insertNull(0);
        assertThat(EndpointListCodec.decode(MAPPER.writeValueAsBytes(list)).endpoints())
                .containsExactlyElementsIn(list().endpoints());
    }

    /** Guards against documents of other routers with lengths that they do not hold, or that are deeply nested. */
    @Test
    void anOddListOfAnotherRouterIsRejected() throws Exception {
        byte[] arrays = new byte[DEEP];
        java.util.Arrays.fill(arrays, (byte) 0x91);
        byte[] sound = EndpointListCodec.encode(list());
        for (byte[] odd : List.of(
                arrays,
                joined(sound, 1, arrays),
                joined(sound, 4, arrays),
                joined(sound, 4, 0xDD, 0x7F, 0xFF, 0xFF, 0xFF),
                joined(sound, 4, 0xC6, 0x7F, 0xFF, 0xFF, 0xFF),
                joined(sound, 4, 0xC9, 0x7F, 0xFF, 0xFF, 0xFF, 1),
                joined(sound, 6, 0xDB, 0x7F, 0xFF, 0xFF, 0xFF),
                joined(sound, 1, 0xCF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF))) {
            assertThat(failureOnDeployedStack(odd)).isInstanceOf(IOException.class);
        }
    }

    private static byte[] joined(byte[] sound, int kept, int... odd) {
        byte[] bytes = new byte[odd.length];
        for (int index = 0; index < odd.length; index++) {
            bytes[index] = (byte) odd[index];
        }
        return joined(sound, kept, bytes);
    }

    private static byte[] joined(byte[] sound, int kept, byte[] odd) {
        byte[] bytes = java.util.Arrays.copyOf(sound, kept + odd.length);
        System.arraycopy(odd, 0, bytes, kept, odd.length);
        return bytes;
    }

    private static EndpointSnapshot list() {
        return new EndpointSnapshot(
                new EndpointListVersion(new StorePosition(0, 7), 5, true),
                List.of(new ServiceEndpoint("a", "llm", new Address("10.0.0.1", 1), new DataCentre("d"), 6, false)),
                Set.of());
    }

    private static Throwable failureOnDeployedStack(byte[] document) throws Exception {
        FutureTask<Throwable> result = new FutureTask<>(() -> {
            try {
                EndpointListCodec.decode(document);
                return new IllegalStateException("decoded");
            } catch (Throwable failure) {
                return failure;
            }
        });
        new Thread(null, result, "small-stack", DEPLOYED_STACK_BYTES).start();
        return result.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }
}
