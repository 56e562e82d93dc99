package org.radishpass.routing.control;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import org.msgpack.jackson.dataformat.MessagePackMapper;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.fleet.ServiceEndpoint;

/** Writes the endpoints that a router believes in for its peers, and reads them. */
final class EndpointListCodec {
    private static final ObjectMapper MAPPER = new MessagePackMapper();
    private static final TypeReference<List<Entry>> ENTRIES = new TypeReference<>() {};

    private EndpointListCodec() {
        // static methods only
    }

    static byte[] encode(List<ServiceEndpoint> endpoints) throws IOException {
        return MAPPER.writeValueAsBytes(endpoints.stream().map(Entry::of).toList());
    }

    /**
     * Reads a list.
     *
     * @param bytes the MessagePack
     * @throws IOException if it is malformed
     */
    static List<ServiceEndpoint> decode(byte[] bytes) throws IOException {
        try {
            return MAPPER.readValue(bytes, ENTRIES).stream()
                    .map(Entry::endpoint)
                    .toList();
        } catch (RuntimeException e) {
            throw new IOException("malformed endpoint list: " + e.getMessage(), e);
        }
    }

    /** One endpoint on the wire. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Entry(String id, String service, String host, int port, String dataCentre, int slots, boolean leaving) {
        private static Entry of(ServiceEndpoint endpoint) {
            return new Entry(
                    endpoint.id(),
                    endpoint.service(),
                    endpoint.address().host(),
                    endpoint.address().port(),
                    endpoint.dataCentre().name(),
                    endpoint.slots(),
                    endpoint.leaving());
        }

        private ServiceEndpoint endpoint() {
            return new ServiceEndpoint(
                    id, service, new Address(host, port), new DataCentre(dataCentre), slots, leaving);
        }
    }
}
