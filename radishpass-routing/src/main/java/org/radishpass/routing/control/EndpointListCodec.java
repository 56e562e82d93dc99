package org.radishpass.routing.control;

import com.fasterxml.jackson.annotation.JsonFormat;
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

    private EndpointListCodec() {
        // static methods only
    }

    static byte[] encode(EndpointSnapshot list) throws IOException {
        ListReading reading = list.reading();
        return MAPPER.writeValueAsBytes(new Document(
                reading.revision(),
                reading.storeMillis(),
                reading.settled(),
                list.endpoints().stream().map(Entry::of).toList()));
    }

    /**
     * Reads a list.
     *
     * @param bytes the MessagePack
     * @throws IOException if it is malformed
     */
    static EndpointSnapshot decode(byte[] bytes) throws IOException {
        try {
            Document document = MAPPER.readValue(bytes, Document.class);
            return new EndpointSnapshot(
                    new ListReading(document.revision(), document.storeMillis(), document.settled()),
                    document.endpoints().stream().map(Entry::endpoint).toList());
        } catch (RuntimeException e) {
            throw new IOException("malformed endpoint list: " + e.getMessage(), e);
        }
    }

    /** The list on the wire, with the reading that it rests on. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Document(long revision, long storeMillis, boolean settled, List<Entry> endpoints) {}

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
