package org.radishpass.routing.control;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Set;
import org.msgpack.jackson.dataformat.MessagePackMapper;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.fleet.Incarnation;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.fleet.StorePosition;

/** Encodes lists of endpoints for peers, and decodes them. */
final class EndpointListCodec {
    private static final ObjectMapper MAPPER = new MessagePackMapper();

    private EndpointListCodec() {
        // static methods only
    }

    static byte[] encode(EndpointSnapshot list) throws IOException {
        ListReading reading = list.reading();
        return MAPPER.writeValueAsBytes(new Document(
                reading.position().revision(),
                reading.storeMillis(),
                reading.settled(),
                list.endpoints().stream().map(Entry::of).toList(),
                List.copyOf(list.kept()),
                reading.position().era()));
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
                    new ListReading(
                            new StorePosition(document.era(), document.revision()),
                            document.storeMillis(),
                            document.settled()),
                    document.endpoints().stream().map(Entry::endpoint).toList(),
                    Set.copyOf(document.kept()));
        } catch (RuntimeException e) {
            throw new IOException("malformed endpoint list: " + e.getMessage(), e);
        }
    }

    /** The list on the wire, with the reading that it rests on; earlier releases do not tell the era. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Document(
            long revision, long storeMillis, boolean settled, List<Entry> endpoints, List<String> kept, long era) {}

    /** One endpoint on the wire. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Entry(
            String name,
            long startedAtMillis,
            String service,
            String host,
            int port,
            String dataCentre,
            int slots,
            boolean leaving,
            long coldUntilStoreMillis) {
        private static Entry of(ServiceEndpoint endpoint) {
            return new Entry(
                    endpoint.name(),
                    endpoint.incarnation().startedAtMillis(),
                    endpoint.service(),
                    endpoint.address().host(),
                    endpoint.address().port(),
                    endpoint.dataCentre().name(),
                    endpoint.slots(),
                    endpoint.leaving(),
                    endpoint.coldUntilStoreMillis());
        }

        private ServiceEndpoint endpoint() {
            return new ServiceEndpoint(
                            name, service, new Address(host, port), new DataCentre(dataCentre), slots, leaving)
                    .startedAs(new Incarnation(startedAtMillis))
                    .coldUntil(coldUntilStoreMillis);
        }
    }
}
