package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackMapper;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.fleet.SoftwareVersion;
import org.radishpass.routing.fleet.StorePosition;

/** Checks that lists of endpoints are read from routers of the releases before and after this one. */
final class EndpointListCodecTest {
    private static final ObjectMapper MAPPER = new MessagePackMapper();
    private static final int ENTRIES = 3;
    private static final int DATA_CENTRE = 5;

    private static final EndpointSnapshot LIST = new EndpointSnapshot(
            new EndpointListVersion(new StorePosition(0, 7), 5, true),
            List.of(new ServiceEndpoint("a", "llm", new Address("10.0.0.1", 1), new DataCentre("d"), 6, false)
                    .withSoftwareVersion(new SoftwareVersion("v1.2"))),
            Set.of());

    @Test
    void theSoftwareVersionIsHandedOn() throws Exception {
        assertThat(EndpointListCodec.decode(EndpointListCodec.encode(LIST)).endpoints())
                .containsExactlyElementsIn(LIST.endpoints());
    }

    @Test
    void aListOfAnEarlierReleaseHasNoSoftwareVersion() throws Exception {
        ArrayNode list = (ArrayNode) MAPPER.readTree(EndpointListCodec.encode(LIST));
        ArrayNode entry = (ArrayNode) list.get(ENTRIES).get(0);
        entry.remove(entry.size() - 1);
        ServiceEndpoint endpoint = EndpointListCodec.decode(MAPPER.writeValueAsBytes(list))
                .endpoints()
                .get(0);
        assertThat(endpoint.softwareVersion()).isEqualTo(SoftwareVersion.UNKNOWN);
        assertThat(endpoint.softwareVersion().sameAs(SoftwareVersion.UNKNOWN)).isFalse();
    }

    /** Guards against one entry with a blank data centre that hides all other endpoints of a router's list. */
    @Test
    void anEntryThatCannotBeDecodedDoesNotHideTheOthers() throws Exception {
        ArrayNode list = (ArrayNode) MAPPER.readTree(EndpointListCodec.encode(LIST));
        ArrayNode entries = (ArrayNode) list.get(ENTRIES);
        ArrayNode damaged = entries.get(0).deepCopy();
        damaged.set(DATA_CENTRE, " ");
        entries.insert(0, damaged);
        assertThat(EndpointListCodec.decode(MAPPER.writeValueAsBytes(list)).endpoints())
                .containsExactlyElementsIn(LIST.endpoints());
    }

    /** Guards against lists that a router of the release before cannot read, since it skips components in the same way. */
    @Test
    void componentsOfALaterReleaseAreSkipped() throws Exception {
        ArrayNode list = (ArrayNode) MAPPER.readTree(EndpointListCodec.encode(LIST));
        ((ArrayNode) list.get(ENTRIES).get(0)).add("later");
        assertThat(EndpointListCodec.decode(MAPPER.writeValueAsBytes(list)).endpoints())
                .containsExactlyElementsIn(LIST.endpoints());
    }
}
