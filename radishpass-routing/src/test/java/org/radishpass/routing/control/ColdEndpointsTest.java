package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;
import static org.radishpass.routing.testing.StorePositions.at;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.config.ColdStart;
import org.radishpass.routing.config.RoutingConfiguration;
import org.radishpass.routing.config.ServiceSpec;
import org.radishpass.routing.fleet.DataCentreDrain;
import org.radishpass.routing.fleet.ServiceEndpoint;

/**
 * Checks which endpoints are treated as cold, and until when. The store's clock is ahead of the router's clock by a
 * fixed time.
 */
final class ColdEndpointsTest {
    private static final DataCentre HERE = new DataCentre("here");
    private static final long COLD_MILLIS = 3_000;
    private static final long STORE_AHEAD_MILLIS = 50_000;
    private static final RoutingConfiguration CONFIGURATION = RoutingConfiguration.builder(1)
            .service(new ServiceSpec("s", "/health", 100, null, new ColdStart(COLD_MILLIS, 13)))
            .service(new ServiceSpec("plain", "/health", 100, null))
            .build();

    private final DirectoryTracker directory = new DirectoryTracker();
    private final DrainTracker drains = new DrainTracker();
    private final StoreClock storeClock = new StoreClock();
    private final ColdEndpoints cold = new ColdEndpoints(directory, drains, storeClock);
    private long revision;

    @Test
    void coldPeriodOfAnEntryIsUsed() {
        read(1_000, endpoint("e", "s").withColdUntil(STORE_AHEAD_MILLIS + 3_500), endpoint("warm", "s"));
        assertThat(cold.coldUntilMillisById(CONFIGURATION, 1_000)).containsExactly("e", 3_500L);
        assertThat(cold.coldUntilMillisById(CONFIGURATION, 3_502))
                .isEmpty(); // the clocks drift apart by up to 0.5 ms in 2.5 s
    }

    @Test
    void endpointsOfServicesWithoutColdStartAreNeverCold() {
        read(1_000, endpoint("e", "plain").withColdUntil(STORE_AHEAD_MILLIS + 3_500));
        assertThat(cold.coldUntilMillisById(CONFIGURATION, 1_000)).isEmpty();
    }

    /**
     * Guards against a cold end that shifts with each read by up to one renewal period: an entry states the time left
     * as of its last renewal.
     */
    @Test
    void coldEndIsStableAcrossReads() {
        read(1_000, endpoint("e", "s").withColdUntil(STORE_AHEAD_MILLIS + 3_500));
        long hash = directory.hash();
        read(1_850, endpoint("e", "s").withColdUntil(STORE_AHEAD_MILLIS + 4_350));
        assertThat(cold.coldUntilMillisById(CONFIGURATION, 1_850)).containsExactly("e", 3_500L);
        assertThat(directory.hash()).isEqualTo(hash);
    }

    @Test
    void newColdPeriodIsDetectedAndChangesTheHash() {
        read(1_000, endpoint("e", "s").withColdUntil(STORE_AHEAD_MILLIS + 3_500));
        read(5_000, endpoint("e", "s"));
        long warmHash = directory.hash();
        read(9_000, endpoint("e", "s").withColdUntil(STORE_AHEAD_MILLIS + 11_000));
        assertThat(cold.coldUntilMillisById(CONFIGURATION, 9_000)).containsExactly("e", 11_000L);
        assertThat(directory.hash()).isNotEqualTo(warmHash);
    }

    @Test
    void endpointsOfAReturnedDataCentreAreColdUntilEntriesCanBeUpToDate() {
        read(1_000, endpoint("e", "s"));
        drains.offer(new DataCentreDrain(HERE, at(5), true), 1_000);
        drains.offer(new DataCentreDrain(HERE, at(6), false), 2_000);
        assertThat(cold.coldUntilMillisById(CONFIGURATION, 2_000)).containsKey("e");
        read(3_400, endpoint("e", "s"));
        assertThat(cold.coldUntilMillisById(CONFIGURATION, 3_400)).containsKey("e");
        read(2_000 + ColdEndpoints.ENTRY_UPDATE_DELAY_MILLIS, endpoint("e", "s"));
        assertThat(cold.coldUntilMillisById(CONFIGURATION, 3_600)).isEmpty();
    }

    @Test
    void endpointsOfAReturnedDataCentreAreColdForAFullColdStartWithoutReads() {
        read(1_000, endpoint("e", "s"));
        drains.offer(new DataCentreDrain(HERE, at(6), false), 2_000);
        long coldUntilMillis = 2_000 + ColdEndpoints.ENTRY_UPDATE_DELAY_MILLIS + COLD_MILLIS;
        assertThat(cold.coldUntilMillisById(CONFIGURATION, 5_000)).isEqualTo(Map.of("e", coldUntilMillis));
        assertThat(cold.coldUntilMillisById(CONFIGURATION, coldUntilMillis)).isEmpty();
    }

    @Test
    void coldEndIsSentToPeers() throws IOException {
        ServiceEndpoint coldEndpoint = endpoint("e", "s").withColdUntil(STORE_AHEAD_MILLIS + 3_500);
        EndpointSnapshot list =
                new EndpointSnapshot(new EndpointListVersion(at(3), 51_000, true), List.of(coldEndpoint), Set.of());
        assertThat(EndpointListCodec.decode(EndpointListCodec.encode(list)).endpoints())
                .containsExactly(coldEndpoint);
    }

    private void read(long nowMillis, ServiceEndpoint... endpoints) {
        long storeMillis = nowMillis + STORE_AHEAD_MILLIS;
        storeClock.observed(nowMillis, nowMillis, storeMillis);
        directory.applyOwnRead(
                new DirectoryReadResult.Listed(at(++revision), storeMillis, Arrays.asList(endpoints), List.of()),
                nowMillis);
    }

    private static ServiceEndpoint endpoint(String id, String service) {
        return new ServiceEndpoint(id, service, new Address("10.0.0.9", 80), HERE, 6, false);
    }
}
