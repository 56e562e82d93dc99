package org.radishpass.peer.message;

import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessagePacker;

/** Encodes and decodes the components of a {@link RoutingMessage.RoutingState}, for {@link RoutingMessageCodec}. */
final class RoutingStateCodec {
    private static final int STATE_COMPONENTS = 16;
    private static final int WORK_COMPONENTS = 3;
    private static final int DRAIN_COMPONENTS = 5;
    private static final int DEMAND_COMPONENTS = 7;
    private static final int LOAD_COMPONENTS = 7;
    private static final int PARTITION_COMPONENTS = 3;

    private RoutingStateCodec() {
        // static methods only
    }

    static void pack(RoutingMessage.RoutingState state, MessagePacker packer) throws IOException {
        packer.packArrayHeader(STATE_COMPONENTS)
                .packLong(state.configurationVersion())
                .packLong(state.directoryRevision());
        packWork(state.work(), packer);
        packer.packLong(state.directoryHash())
                .packLong(state.directoryReadMillis())
                .packBoolean(state.directorySettled());
        packTexts(state.failing(), packer);
        packer.packInt(RoutingMessageCodec.code(state.scope())).packLong(state.ownReadMillis());
        packDrains(state.drains(), packer);
        packTexts(state.leaving(), packer);
        packer.packLong(state.directoryEra()).packLong(state.storeEra());
        packDemand(state.demand(), packer);
        packLoads(state.loads(), packer);
        packPartitions(state.partitions(), packer);
    }

    private static void packWork(List<RoutingMessage.EndpointWork> work, MessagePacker packer) throws IOException {
        packer.packArrayHeader(work.size());
        for (RoutingMessage.EndpointWork entry : work) {
            packer.packArrayHeader(WORK_COMPONENTS)
                    .packString(entry.endpointId())
                    .packInt(entry.requests())
                    .packLong(entry.tokens());
        }
    }

    private static void packDrains(List<RoutingMessage.DrainEntry> drains, MessagePacker packer) throws IOException {
        packer.packArrayHeader(drains.size());
        for (RoutingMessage.DrainEntry entry : drains) {
            packer.packArrayHeader(DRAIN_COMPONENTS)
                    .packString(entry.dataCentre())
                    .packLong(entry.revision())
                    .packBoolean(entry.drained())
                    .packLong(entry.forMillis())
                    .packLong(entry.era());
        }
    }

    private static void packDemand(List<RoutingMessage.DemandEntry> demand, MessagePacker packer) throws IOException {
        packer.packArrayHeader(demand.size());
        for (RoutingMessage.DemandEntry entry : demand) {
            packer.packArrayHeader(DEMAND_COMPONENTS)
                    .packString(entry.service())
                    .packString(entry.workspace())
                    .packInt(entry.urgency())
                    .packDouble(entry.arrived())
                    .packDouble(entry.sent())
                    .packDouble(entry.completed())
                    .packDouble(entry.refused());
        }
    }

    private static void packLoads(List<RoutingMessage.LoadEntry> loads, MessagePacker packer) throws IOException {
        packer.packArrayHeader(loads.size());
        for (RoutingMessage.LoadEntry entry : loads) {
            packer.packArrayHeader(LOAD_COMPONENTS)
                    .packString(entry.endpointId())
                    .packInt(entry.running())
                    .packInt(entry.waiting())
                    .packInt(entry.slots())
                    .packInt(entry.slowdownPercent())
                    .packInt(entry.samples())
                    .packLong(entry.ageMillis());
        }
    }

    private static void packPartitions(List<RoutingMessage.PartitionEntry> partitions, MessagePacker packer)
            throws IOException {
        packer.packArrayHeader(partitions.size());
        for (RoutingMessage.PartitionEntry entry : partitions) {
            packer.packArrayHeader(PARTITION_COMPONENTS).packString(entry.router());
            packTexts(entry.services(), packer);
            packer.packLong(entry.ageMillis());
        }
    }

    private static void packTexts(List<String> texts, MessagePacker packer) throws IOException {
        packer.packArrayHeader(texts.size());
        for (String text : texts) {
            packer.packString(text);
        }
    }

    @SuppressWarnings("NullAway") // the constructor rejects a missing scope
    static RoutingMessage.RoutingState decode(ArrayReader reader) throws IOException {
        // arguments are evaluated from left to right, in the order of the components
        RoutingMessage.RoutingState state = new RoutingMessage.RoutingState(
                reader.integer(),
                reader.integer(),
                reader.list(RoutingStateCodec::work),
                reader.integer(),
                reader.integer(),
                reader.flag(),
                reader.texts(),
                reader.constant(WorkScope.values()),
                reader.integer(),
                reader.optionalList(RoutingStateCodec::drain),
                reader.optionalTexts(),
                reader.integer(),
                reader.integer(),
                reader.optionalList(RoutingStateCodec::demand),
                reader.optionalList(RoutingStateCodec::load),
                reader.optionalList(RoutingStateCodec::partition));
        reader.end();
        return state;
    }

    @SuppressWarnings("NullAway") // the constructor rejects a missing endpoint
    private static RoutingMessage.EndpointWork work(ArrayReader reader) throws IOException {
        return new RoutingMessage.EndpointWork(reader.text(), reader.smallInteger(), reader.integer());
    }

    @SuppressWarnings("NullAway") // the constructor rejects a missing data centre
    private static RoutingMessage.DrainEntry drain(ArrayReader reader) throws IOException {
        return new RoutingMessage.DrainEntry(
                reader.text(), reader.integer(), reader.flag(), reader.integer(), reader.integer());
    }

    @SuppressWarnings("NullAway") // the constructor rejects missing names
    private static RoutingMessage.DemandEntry demand(ArrayReader reader) throws IOException {
        return new RoutingMessage.DemandEntry(
                reader.text(),
                reader.text(),
                reader.smallInteger(),
                reader.number(),
                reader.number(),
                reader.number(),
                reader.number());
    }

    @SuppressWarnings("NullAway") // the constructor rejects a missing router
    private static RoutingMessage.PartitionEntry partition(ArrayReader reader) throws IOException {
        return new RoutingMessage.PartitionEntry(reader.text(), reader.texts(), reader.integer());
    }

    @SuppressWarnings("NullAway") // the constructor rejects a missing endpoint
    private static RoutingMessage.LoadEntry load(ArrayReader reader) throws IOException {
        return new RoutingMessage.LoadEntry(
                reader.text(),
                reader.smallInteger(),
                reader.smallInteger(),
                reader.smallInteger(),
                reader.smallInteger(),
                reader.smallInteger(),
                reader.integer());
    }
}
