package org.radishpass.peer.message;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.radishpass.peer.document.DocumentPacking;

/**
 * Encodes and decodes the frequent routing messages without reflection. The bytes are the same as those of {@link
 * ReflectiveCodec}, which handles all other messages. Routers run mostly interpreted code, in which encoding by reflection
 * is expensive.
 */
final class RoutingMessageCodec {
    private static final String STATE = "rs";
    private static final String ROUTER_LIST = "rl";
    private static final String INTRODUCTION = "in";
    private static final String DOCUMENT_WANTED = "dw";
    private static final String DOCUMENT = "do";

    private RoutingMessageCodec() {
        // static methods only
    }

    /** Returns the bytes of an envelope, or nothing if this codec does not handle its message. */
    static Optional<byte[]> encode(Envelope envelope) throws IOException {
        String type = type(envelope.message());
        if (type.isEmpty()) {
            return Optional.empty();
        }
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(2).packLong(envelope.id()).packArrayHeader(2).packString(type);
            pack(envelope.message(), packer);
            return Optional.of(packer.toByteArray());
        }
    }

    private static String type(PeerMessage message) {
        if (message instanceof RoutingMessage.RoutingState) {
            return STATE;
        }
        if (message instanceof RoutingMessage.RouterList) {
            return ROUTER_LIST;
        }
        if (message instanceof RoutingMessage.Introduction) {
            return INTRODUCTION;
        }
        if (message instanceof RoutingMessage.DocumentWanted) {
            return DOCUMENT_WANTED;
        }
        return message instanceof RoutingMessage.Document ? DOCUMENT : "";
    }

    private static void pack(PeerMessage message, MessagePacker packer) throws IOException {
        if (message instanceof RoutingMessage.RoutingState state) {
            RoutingStateCodec.pack(state, packer);
        } else if (message instanceof RoutingMessage.RouterList list) {
            packer.packArrayHeader(1).packArrayHeader(list.routers().size());
            for (RoutingMessage.RouterEntry router : list.routers()) {
                packRouter(router, packer);
            }
        } else if (message instanceof RoutingMessage.Introduction introduction) {
            packer.packArrayHeader(1);
            packRouter(introduction.router(), packer);
        } else if (message instanceof RoutingMessage.DocumentWanted wanted) {
            packer.packArrayHeader(3)
                    .packString(wanted.name())
                    .packBoolean(wanted.acceptsPacked())
                    .packString(wanted.baseHash());
        } else if (message instanceof RoutingMessage.Document document) {
            packer.packArrayHeader(6)
                    .packString(document.name())
                    .packLong(document.version())
                    .packBinaryHeader(document.content().length)
                    .writePayload(document.content())
                    .packInt(code(document.packing()))
                    .packString(document.hash())
                    .packString(document.baseHash());
        }
    }

    /** Returns the number of a constant in messages. */
    @SuppressWarnings("EnumOrdinal") // the order of the constants of these types is part of the protocol
    static int code(Enum<?> constant) {
        return constant.ordinal();
    }

    private static void packRouter(RoutingMessage.RouterEntry router, MessagePacker packer) throws IOException {
        packer.packArrayHeader(5)
                .packString(router.address())
                .packString(router.dataCentre())
                .packDouble(router.cores())
                .packInt(router.relayPort())
                .packInt(router.messageLevel());
    }

    /**
     * Decodes an envelope.
     *
     * @param bytes the envelope in MessagePack
     * @return the envelope, or nothing if this codec does not handle its message
     * @throws IOException if the message is one of this codec and malformed
     */
    static Optional<Envelope> decode(byte[] bytes) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            long id;
            String type;
            try {
                if (unpacker.unpackArrayHeader() < 2) {
                    return Optional.empty();
                }
                id = unpacker.unpackLong();
                if (unpacker.unpackArrayHeader() != 2) {
                    return Optional.empty();
                }
                type = unpacker.unpackString();
            } catch (MessagePackException e) {
                return Optional.empty();
            }
            PeerMessage message = decodeMessage(type, unpacker, bytes.length);
            return message == null ? Optional.empty() : Optional.of(new Envelope(id, message));
        } catch (RuntimeException e) {
            throw new IOException("malformed MessagePack: " + e.getMessage(), e);
        }
    }

    private static @Nullable PeerMessage decodeMessage(String type, MessageUnpacker unpacker, int size)
            throws IOException {
        return switch (type) {
            case STATE -> RoutingStateCodec.decode(new ArrayReader(unpacker, size));
            case ROUTER_LIST -> routerList(new ArrayReader(unpacker, size));
            case INTRODUCTION -> introduction(new ArrayReader(unpacker, size));
            case DOCUMENT_WANTED -> documentWanted(new ArrayReader(unpacker, size));
            case DOCUMENT -> document(new ArrayReader(unpacker, size));
            default -> null;
        };
    }

    private static RoutingMessage.RouterList routerList(ArrayReader reader) throws IOException {
        List<RoutingMessage.RouterEntry> routers = reader.list(RoutingMessageCodec::router);
        reader.end();
        return new RoutingMessage.RouterList(routers);
    }

    @SuppressWarnings("NullAway") // the constructor rejects a missing router
    private static RoutingMessage.Introduction introduction(ArrayReader reader) throws IOException {
        RoutingMessage.RouterEntry router = reader.nested(RoutingMessageCodec::router);
        reader.end();
        return new RoutingMessage.Introduction(router);
    }

    @SuppressWarnings("NullAway") // the constructor rejects a missing name
    private static RoutingMessage.DocumentWanted documentWanted(ArrayReader reader) throws IOException {
        String name = reader.text();
        boolean acceptsPacked = reader.flag();
        String baseHash = reader.text();
        reader.end();
        return new RoutingMessage.DocumentWanted(name, acceptsPacked, baseHash);
    }

    @SuppressWarnings("NullAway") // the constructor rejects missing components
    private static RoutingMessage.Document document(ArrayReader reader) throws IOException {
        String name = reader.text();
        long version = reader.integer();
        byte[] content = reader.binary();
        DocumentPacking packing = reader.constant(DocumentPacking.values());
        String hash = reader.text();
        String baseHash = reader.text();
        reader.end();
        return new RoutingMessage.Document(name, version, content, packing, hash, baseHash);
    }

    @SuppressWarnings("NullAway") // the constructor rejects missing components
    private static RoutingMessage.RouterEntry router(ArrayReader reader) throws IOException {
        return new RoutingMessage.RouterEntry(
                reader.text(), reader.text(), reader.number(), reader.smallInteger(), reader.smallInteger());
    }
}
