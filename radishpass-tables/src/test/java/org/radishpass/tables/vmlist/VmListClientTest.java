package org.radishpass.tables.vmlist;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.fleet.VmKind;
import org.radishpass.core.fleet.VmListing;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;

/** Checks that an entry of the VM list that no VM writes does not affect the other entries. */
final class VmListClientTest {
    private static final String SOUND = entry("e-1", "8080");

    static List<String> oddEntries() {
        return List.of(
                entry("odd", "65536"),
                entry("odd", "0"),
                entry("odd", "-1"),
                entry("odd", "99999999999"),
                // the low 32 bits are a valid port
                entry("odd", "4294975376"),
                entry("odd", "8080.5"),
                entry("odd", "1e999999999"),
                entry("odd", "-1e999999999"),
                entry("odd", "9".repeat(900)),
                entry("odd", "9".repeat(5_000)),
                entry("odd", "\"NaN\""),
                entry("odd", "null"),
                entry("odd", "[".repeat(3_000) + "]".repeat(3_000)),
                entry("odd", "[".repeat(50_000) + "]".repeat(50_000)),
                SOUND.replace("\"here\"", "\" \""),
                SOUND.replace("\"here\"", "{}"),
                "null",
                "17",
                "[".repeat(5_000) + "]".repeat(5_000),
                "{\"a\":".repeat(5_000) + "1" + "}".repeat(5_000));
    }

    /** Guards against one odd entry that hid the whole list, so that the machines that read it no longer followed it. */
    @ParameterizedTest
    @MethodSource("oddEntries")
    void anOddEntryDoesNotHideTheOthers(String odd) throws Exception {
        for (String entries : List.of(odd + "," + SOUND, SOUND + "," + odd, odd + "," + SOUND + "," + odd)) {
            assertThat(list("{\"extra\":{\"a\":[1]},\"vms\":[" + entries + "]}"))
                    .containsExactly(new VmListing(
                            "e-1",
                            "i-1",
                            VmKind.ENGINE,
                            new DataCentre("here"),
                            new Address("127.0.0.1", 8_080),
                            false));
        }
    }

    @Test
    void aListWithoutOddEntriesIsReadInOrder() throws Exception {
        assertThat(list("{\"vms\":[" + entry("b", "2") + "," + entry("a", "1") + "]}").stream()
                        .map(VmListing::id))
                .containsExactly("b", "a")
                .inOrder();
        assertThat(list("{\"vms\":[]}")).isEmpty();
    }

    /** Guards against a list that broke off and is taken for a whole one with fewer VMs. */
    @ParameterizedTest
    @MethodSource("oddEntries")
    void aListThatIsCutIsNoList(String odd) {
        for (String cut : List.of("{\"vms\":[" + SOUND + "," + odd, "{\"vms\":[" + SOUND + ",", "{\"vms\":[", "")) {
            assertThat(Mono.fromCallable(() -> list(cut))
                            .map(List::size)
                            .onErrorReturn(-1)
                            .block())
                    .isEqualTo(-1);
        }
    }

    private static String entry(String id, String port) {
        return "{\"id\":\"" + id + "\",\"incarnation\":\"i-1\",\"kind\":\"engine\",\"dataCentre\":\"here\","
                + "\"host\":\"127.0.0.1\",\"port\":" + port + ",\"leaving\":false}";
    }

    /** Reads a list. */
    private static List<VmListing> list(String body) throws Exception {
        DisposableServer server = HttpServer.create()
                .host("127.0.0.1")
                .handle((request, response) -> response.sendString(Mono.just(body)))
                .bindNow();
        try {
            return Objects.requireNonNull(new VmListClient(
                            HttpClient.newConnection(),
                            "http://127.0.0.1:" + server.port(),
                            new DataCentre("here"),
                            Duration.ofSeconds(20))
                    .list()
                    .block());
        } finally {
            server.disposeNow();
        }
    }
}
