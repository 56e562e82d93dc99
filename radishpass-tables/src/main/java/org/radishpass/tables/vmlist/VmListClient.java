package org.radishpass.tables.vmlist;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.fleet.VmListing;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/**
 * Reads the list of VMs from the platform.
 *
 * @since 0.1.0
 */
public final class VmListClient {
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;

    private final HttpClient client;
    private final String address;
    private final Duration timeout;
    private final VmListDecoder decoder = new VmListDecoder();
    private volatile CachedList cached = new CachedList("", List.of());

    /**
     * Creates a client.
     *
     * @param client the HTTP client
     * @param baseAddress the base URL of the platform
     * @param observer the data centre from which the list is requested
     * @param timeout the timeout of one request
     */
    public VmListClient(HttpClient client, String baseAddress, DataCentre observer, Duration timeout) {
        this.client = client;
        this.address = baseAddress + "/v1/vms?observer=" + observer.name();
        this.timeout = timeout;
    }

    /**
     * Returns the list of VMs. The result fails if the platform does not respond in time or responds with an error.
     *
     * <p>The request carries the ETag of the last list. If the list is unchanged, the platform does not send it again
     * and the cached list is returned.
     */
    public Mono<List<VmListing>> list() {
        CachedList last = cached;
        return client.headers(headers -> headers.set(HttpHeaderNames.IF_NONE_MATCH, last.tag()))
                .get()
                .uri(address)
                .responseSingle((response, content) -> {
                    if (response.status().code() == NOT_MODIFIED) {
                        return Mono.just(last.listings());
                    }
                    if (response.status().code() != OK) {
                        return Mono.error(new IOException("the VM list request failed with status "
                                + response.status().code()));
                    }
                    String tag = response.responseHeaders().get(HttpHeaderNames.ETAG, "");
                    return content.asByteArray()
                            .map(this::decode)
                            .doOnNext(found -> cached = new CachedList(tag, found));
                })
                .timeout(timeout);
    }

    private synchronized List<VmListing> decode(byte[] bytes) {
        try {
            return decoder.decode(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * The last list that the platform sent.
     *
     * @param tag the ETag of the list; empty for none
     * @param listings the VMs
     */
    private record CachedList(String tag, List<VmListing> listings) {}
}
