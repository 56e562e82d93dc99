package org.radishpass.load.internal.slope;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.DoubleUnaryOperator;
import org.radishpass.core.admission.PriorityClass;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.core.fleet.Endpoint;
import org.radishpass.core.fleet.EndpointList;
import org.radishpass.core.fleet.EndpointState;
import org.radishpass.core.fleet.Engine;
import org.radishpass.core.fleet.FleetView;
import org.radishpass.core.fleet.Vm;
import org.radishpass.core.fleet.VmKind;
import org.radishpass.core.fleet.VmListing;
import org.radishpass.core.load.LoadBound;
import org.radishpass.core.load.OwnedSlotAccounts;
import org.radishpass.core.load.OwnerSelection;
import org.radishpass.core.load.SlotId;
import org.radishpass.core.load.SlotRequest;
import org.radishpass.core.membership.EndpointReport;
import org.radishpass.core.membership.FleetDirectory;
import org.radishpass.core.placement.Ranking;
import org.radishpass.peer.message.Envelope;
import org.radishpass.peer.message.PeerCodec;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.records.Configuration;
import org.radishpass.records.ConfigurationChange;
import org.radishpass.records.KeyHash;
import org.radishpass.records.StoredRecord;

/**
 * Measures the cost of control and placement operations at several sizes.
 *
 * @since 0.1.0
 */
public final class SlopeBench {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final List<DataCentre> DATA_CENTRES = dataCentres();
    private static final double[] ENDPOINT_COUNTS = {12, 100, 500, 2_100};
    private static final double[] ROUTER_COUNTS = {8, 64, 185, 370};
    private static final double[] WORKSPACE_COUNTS = {10, 100, 500, 1_500};
    private static final double[] OWNED_ENDPOINT_COUNTS = {1, 2, 6, 24};
    private static final int MAX_ATTEMPTS = 16;
    private static final String POOL = "model-1@1";

    private SlopeBench() {
        // static methods only
    }

    /** Measures all quantities that depend on a size. */
    public static List<Series> measureSeries() {
        List<Series> all = new ArrayList<>();
        all.add(measureAtSizes(
                "placement decision",
                "us",
                "endpoints in the pool",
                2_100,
                ENDPOINT_COUNTS,
                SlopeBench::placementMicros));
        all.add(measureAtSizes(
                "picture of the fleet", "us", "endpoints", 2_100, ENDPOINT_COUNTS, SlopeBench::directoryViewMicros));
        all.add(measureAtSizes(
                "owners of all endpoints", "us", "routers", 370, ROUTER_COUNTS, SlopeBench::ownerSelectionMicros));
        all.add(measureAtSizes(
                "fleet directory", "heap bytes", "endpoints", 2_100, ENDPOINT_COUNTS, SlopeBench::directoryHeapBytes));
        all.add(measureAtSizes(
                "slot taken and freed", "us", "endpoints owned", 6, OWNED_ENDPOINT_COUNTS, SlopeBench::slotMicros));
        all.add(measureAtSizes(
                "configuration",
                "heap bytes",
                "workspaces",
                1_500,
                WORKSPACE_COUNTS,
                SlopeBench::configurationHeapBytes));
        all.add(measureAtSizes(
                "one change applied", "us", "workspaces", 1_500, WORKSPACE_COUNTS, SlopeBench::changeMicros));
        return all;
    }

    /** Measures the size of each kind of message between routers, and the time to encode and decode a message. */
    public static List<MessageCost> measureMessages() {
        return List.of(
                measureMessage(new PeerMessage.SlotWanted(
                        123_456, "engine-liguanea-17", POOL, PriorityClass.INTERACTIVE, 1.25f, 60_000)),
                measureMessage(new PeerMessage.SlotReply(org.radishpass.core.load.SlotAnswer.GRANTED, 57, 71)),
                measureMessage(new PeerMessage.SlotFreed(123_456, "engine-liguanea-17")),
                measureMessage(new PeerMessage.PoolParts(List.of(new PeerMessage.PoolSum(POOL, 57, 1)))),
                measureMessage(new PeerMessage.PoolTotals(List.of(new PeerMessage.PoolSum(POOL, 5_700, 100)))),
                measureMessage(new PeerMessage.EndpointReports(List.of(new PeerMessage.EndpointReport(
                        "engine-liguanea-17", "mh3k2a1b", 99, EndpointState.READY, List.of(POOL), 57, 64)))),
                measureMessage(new PeerMessage.Head(123_456)),
                measureMessage(new PeerMessage.Changes(123_456, List.of(workspaceChange(123_456, 7)), List.of())));
    }

    private static MessageCost measureMessage(PeerMessage message) {
        Envelope envelope = new Envelope(123_456, message);
        byte[] bytes = encode(envelope);
        double encodeMicros = MicroBenchmark.medianMicros(() -> encode(envelope));
        double decodeMicros = MicroBenchmark.medianMicros(() -> decode(bytes));
        return new MessageCost(message.kind(), bytes.length + Integer.BYTES, encodeMicros, decodeMicros);
    }

    private static Series measureAtSizes(
            String name, String unit, String variable, double target, double[] sizes, DoubleUnaryOperator measurement) {
        List<Series.Point> points = new ArrayList<>();
        for (double size : sizes) {
            points.add(new Series.Point(size, measurement.applyAsDouble(size)));
        }
        return new Series(name, unit, variable, target, points);
    }

    private static double placementMicros(double size) {
        List<Endpoint> endpoints = EndpointList.of(endpoints((int) size));
        AtomicLong chat = new AtomicLong();
        return MicroBenchmark.medianMicros(
                () -> Ranking.of(endpoints, "workspace", Long.toString(chat.incrementAndGet()), 0, MAX_ATTEMPTS));
    }

    private static double directoryViewMicros(double size) {
        FleetDirectory directory = directory((int) size);
        return MicroBenchmark.medianMicros(directory::view);
    }

    private static double ownerSelectionMicros(double size) {
        FleetView fleet = FleetView.of(vms((int) size), endpoints(2_100));
        return MicroBenchmark.medianMicros(() -> OwnerSelection.endpointOwners(fleet.endpoints(), fleet.vms()));
    }

    private static double directoryHeapBytes(double size) {
        return MicroBenchmark.retainedHeapBytes(() -> {
            FleetDirectory directory = directory((int) size);
            return List.of(directory, directory.view());
        });
    }

    private static double slotMicros(double size) {
        OwnedSlotAccounts book = new OwnedSlotAccounts();
        book.setOwnedEndpoints(endpoints((int) size));
        AtomicLong number = new AtomicLong();
        return MicroBenchmark.medianMicros(() -> {
            SlotId slot = new SlotId("router", number.incrementAndGet());
            book.reserve(
                    "engine-0",
                    POOL,
                    new SlotRequest(slot, PriorityClass.INTERACTIVE, LoadBound.DEFAULT, NOW.plusSeconds(60)),
                    NOW);
            book.release("engine-0", slot);
        });
    }

    private static double configurationHeapBytes(double size) {
        return MicroBenchmark.retainedHeapBytes(() -> configuration((int) size));
    }

    private static double changeMicros(double size) {
        Configuration configuration = configuration((int) size);
        List<ConfigurationChange> changes = List.of(workspaceChange(configuration.revision() + 1, 3));
        return MicroBenchmark.medianMicros(() -> configuration.after(changes));
    }

    private static Configuration configuration(int workspaces) {
        List<StoredRecord> records = new ArrayList<>();
        for (int i = 0; i < workspaces; i++) {
            records.add(workspaceChange(i + 1, i).recordAfter());
        }
        return Configuration.of(workspaces, records);
    }

    private static ConfigurationChange workspaceChange(long revision, int number) {
        ObjectNode spec = JsonNodeFactory.instance.objectNode();
        KeyHash hash = KeyHash.of("salt-" + number, "secret-" + number);
        spec.putArray("keys").addObject().put("salt", hash.salt()).put("sha256", hash.sha256());
        spec.putObject("limits").put("inFlight", 400);
        spec.putObject("placement").put("loadBound", 1.25).put("spread", 8);
        StoredRecord after = new StoredRecord("Workspace", "workspace-" + number, revision, false, spec);
        return new ConfigurationChange(revision, "7f3c1a52-1d7e-4c7b-9c5a-6a3f0e2b9d11", "operator", NOW, after);
    }

    private static FleetDirectory directory(int size) {
        FleetDirectory directory = new FleetDirectory();
        List<VmListing> listings = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            Address address = new Address("10.1." + i / 250 + '.' + i % 250, 8_000);
            listings.add(new VmListing("engine-" + i, "mh3k2a1b", VmKind.ENGINE, dataCentre(i), address, false));
        }
        directory.applyVmList(listings, NOW);
        for (int i = 0; i < size; i++) {
            directory.applyReport(
                    new EndpointReport("engine-" + i, "mh3k2a1b", 1, EndpointState.READY, Set.of(POOL), 57, 64),
                    NOW.plus(Duration.ofSeconds(1)));
        }
        return directory;
    }

    private static List<Endpoint> endpoints(int count) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            endpoints.add(new Engine(
                    "engine-" + i,
                    "mh3k2a1b",
                    dataCentre(i),
                    new Address("10.1.1.1", 8_000),
                    EndpointState.READY,
                    Set.of(POOL),
                    1));
        }
        return endpoints;
    }

    private static List<Vm> vms(int count) {
        List<Vm> vms = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            vms.add(new Vm("router-" + i, dataCentre(i), new Address("10.2.1.1", 8_001), false));
        }
        return vms;
    }

    private static DataCentre dataCentre(int index) {
        return DATA_CENTRES.get(index % DATA_CENTRES.size());
    }

    private static List<DataCentre> dataCentres() {
        List<DataCentre> dataCentres = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            dataCentres.add(new DataCentre("place-" + i));
        }
        return dataCentres;
    }

    private static byte[] encode(Envelope envelope) {
        try {
            return PeerCodec.encode(envelope);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Envelope decode(byte[] bytes) {
        try {
            return PeerCodec.decode(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Size of a kind of message, and the time to encode and decode a message.
     *
     * @param kind the kind of message
     * @param bytes the encoded size in bytes, with the length prefix of the frame
     * @param encodeMicros the time to encode a message, in microseconds
     * @param decodeMicros the time to decode a message, in microseconds
     * @since 0.1.0
     */
    public record MessageCost(String kind, int bytes, double encodeMicros, double decodeMicros) {}
}
