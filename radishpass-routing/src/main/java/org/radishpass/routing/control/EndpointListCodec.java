package org.radishpass.routing.control;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.msgpack.jackson.dataformat.MessagePackMapper;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.peer.message.StatedLengths;
import org.radishpass.routing.fleet.Incarnation;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.fleet.SoftwareVersion;
import org.radishpass.routing.fleet.StorePosition;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Encodes endpoint lists as MessagePack for peers, and decodes them. */
final class EndpointListCodec {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListCodec.class);
    private static final ObjectMapper MAPPER = new MessagePackMapper();

    /** Maximum number of entries of one list that are reported one by one. */
    private static final int MAX_REPORTED_ENTRIES = 20;

    private EndpointListCodec() {
        // static methods only
    }

    static byte[] encode(EndpointSnapshot list) throws IOException {
        EndpointListVersion version = list.version();
        return MAPPER.writeValueAsBytes(new Document(
                version.position().revision(),
                version.storeMillis(),
                version.settled(),
                list.endpoints().stream().map(Entry::of).toList(),
                List.copyOf(list.retainedIds()),
                version.position().era()));
    }

    /**
     * Decodes an endpoint list.
     *
     * @param bytes the list as MessagePack
     * @throws IOException if the list is malformed
     */
    static EndpointSnapshot decode(byte[] bytes) throws IOException {
        StatedLengths.check(bytes);
        try {
            Document document = MAPPER.readValue(bytes, Document.class);
            return new EndpointSnapshot(
                    new EndpointListVersion(
                            new StorePosition(document.era(), document.revision()),
                            document.storeMillis(),
                            document.settled()),
                    endpoints(document.endpoints()),
                    Set.copyOf(document.kept()));
        } catch (RuntimeException | Error e) {
            throw new IOException("malformed endpoint list: " + e.getMessage(), e);
        }
    }

    /** Decodes the entries. One that cannot be decoded is left out, so that it does not hide the others. */
    private static List<ServiceEndpoint> endpoints(List<Entry> entries) {
        List<ServiceEndpoint> endpoints = new ArrayList<>(entries.size());
        int ignored = 0;
        for (Entry entry : entries) {
            try {
                endpoints.add(entry.endpoint());
            } catch (RuntimeException | Error e) {
                if (ignored++ < MAX_REPORTED_ENTRIES) {
                    String name = entry == null ? "nil" : entry.name();
                    LOG.warn("ignoring endpoint {} of a router's list: {}", name, e.toString());
                }
            }
        }
        if (ignored > MAX_REPORTED_ENTRIES) {
            LOG.warn("ignored {} endpoints of a router's list; {} were reported", ignored, MAX_REPORTED_ENTRIES);
        }
        return endpoints;
    }

    /** The encoded form of a list and of the store read on which it is based. Earlier releases do not send the era. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Document(
            long revision, long storeMillis, boolean settled, List<Entry> endpoints, List<String> kept, long era) {}

    /** The encoded form of one endpoint. Earlier releases do not send the software version, and skip it. */
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
            long coldUntilStoreMillis,
            @Nullable String softwareVersion) {
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
                    endpoint.coldUntilStoreMillis(),
                    endpoint.softwareVersion().name());
        }

        private ServiceEndpoint endpoint() {
            return new ServiceEndpoint(
                            name, service, new Address(host, port), new DataCentre(dataCentre), slots, leaving)
                    .withIncarnation(new Incarnation(startedAtMillis))
                    .withColdUntil(coldUntilStoreMillis)
                    .withSoftwareVersion(
                            softwareVersion == null ? SoftwareVersion.UNKNOWN : new SoftwareVersion(softwareVersion));
        }
    }
}
