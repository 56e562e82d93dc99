package org.radishpass.tables.vmlist;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.fleet.VmKind;
import org.radishpass.core.fleet.VmListing;
import org.radishpass.records.RecordJson;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/**
 * Asks the platform for its list of machines.
 *
 * @since 0.1.0
 */
public final class VmListClient {
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;

    private final HttpClient client;
    private final String address;
    private final Duration patience;
    private volatile Known known = new Known("", List.of());

    /**
     * Creates a client.
     *
     * @param client the HTTP client
     * @param baseAddress where the platform answers
     * @param observer the data centre that asks
     * @param patience how long one question may take
     */
    public VmListClient(HttpClient client, String baseAddress, DataCentre observer, Duration patience) {
        this.client = client;
        this.address = baseAddress + "/v1/vms?observer=" + observer.name();
        this.patience = patience;
    }

    /**
     * Returns the list; it ends in an error when the platform does not answer.
     *
     * <p>The platform is told which list is known already, and sends it again only if it has changed.
     */
    public Mono<List<VmListing>> list() {
        Known last = known;
        return client.headers(headers -> headers.set(HttpHeaderNames.IF_NONE_MATCH, last.tag()))
                .get()
                .uri(address)
                .responseSingle((response, content) -> {
                    if (response.status().code() == NOT_MODIFIED) {
                        return Mono.just(last.listings());
                    }
                    if (response.status().code() != OK) {
                        return Mono.error(new IOException(
                                "the VM list answered " + response.status().code()));
                    }
                    String tag = response.responseHeaders().get(HttpHeaderNames.ETAG, "");
                    return content.asByteArray()
                            .map(VmListClient::parse)
                            .doOnNext(found -> known = new Known(tag, found));
                })
                .timeout(patience);
    }

    private static List<VmListing> parse(byte[] bytes) {
        try {
            List<VmListing> listings = new ArrayList<>();
            for (JsonNode vm : RecordJson.mapper().readTree(bytes).path("vms")) {
                VmKind.byName(vm.path("kind").asText()).ifPresent(kind -> listings.add(listing(kind, vm)));
            }
            return listings;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static VmListing listing(VmKind kind, JsonNode vm) {
        return new VmListing(
                vm.path("id").asText(),
                vm.path("incarnation").asText(),
                kind,
                new DataCentre(vm.path("dataCentre").asText()),
                new Address(vm.path("host").asText(), vm.path("port").asInt()),
                vm.path("leaving").asBoolean());
    }

    private record Known(String tag, List<VmListing> listings) {}
}
