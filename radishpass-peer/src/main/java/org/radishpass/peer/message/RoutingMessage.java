package org.radishpass.peer.message;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.radishpass.peer.document.DocumentPacking;
import org.radishpass.peer.document.PackedDocument;

/**
 * A message between routers of routed requests.
 *
 * @since 0.3.0
 */
public sealed interface RoutingMessage extends PeerMessage {
    /**
     * The first message on a connection: the router that speaks.
     *
     * @param router the speaker
     * @since 0.3.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Introduction(RouterEntry router) implements RoutingMessage {
        /** Refuses a message that lacks a component. */
        public Introduction {
            Objects.requireNonNull(router, "router");
        }

        @Override
        public Optional<String> speaker() {
            return Optional.of(router.address());
        }
    }

    /**
     * One router.
     *
     * @param address where it listens for peers, as IP:PORT
     * @param dataCentre where it stands; empty if the sender does not know
     * @param cores the processor time that it may use, in cores
     * @since 0.3.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record RouterEntry(String address, String dataCentre, double cores) {
        /** Refuses a message that lacks a component. */
        public RouterEntry {
            Objects.requireNonNull(address, "address");
            Objects.requireNonNull(dataCentre, "dataCentre");
        }
    }

    /**
     * Routers that the sender knows to be alive.
     *
     * @param routers the routers
     * @since 0.2.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record RouterList(List<RouterEntry> routers) implements RoutingMessage {
        /** Refuses a message that lacks a component. */
        public RouterList {
            routers = List.copyOf(routers);
        }
    }

    /**
     * What a router tells several times a second: work in flight, and how new its knowledge is.
     *
     * @param configuration the version of the configuration that it has in force; -1 before it knows one
     * @param directory the revision of the endpoint list that it read last; -1 before it has read one
     * @param work the work in flight that the message speaks of, by endpoint
     * @param directoryHash the hash of the endpoint list
     * @param directoryReadMillis when the store was read for that list, on the store's clock in milliseconds
     * @param directorySettled whether endpoints that the reading lacked are left out of that list
     * @param failing the endpoints that were seen to fail too many requests
     * @param scope whose work this is
     * @param ownReadMillis when the sender itself read the store last, on the store's clock in milliseconds
     * @param drains the data centres of which the operator has said whether their endpoints are to get nothing new
     * @param leaving endpoints whose own answers stated that they are leaving, which the store has not confirmed yet; a part of them if
     *     they are many
     * @param directoryEra how often the store had been restored from a snapshot when it was read for that list; 0 from earlier releases
     * @param storeEra how often the store has been restored from a snapshot, as far as the sender knows; 0 from earlier releases
     * @since 0.2.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record RoutingState(
            long configuration,
            long directory,
            List<EndpointWork> work,
            long directoryHash,
            long directoryReadMillis,
            boolean directorySettled,
            List<String> failing,
            @JsonFormat(shape = JsonFormat.Shape.NUMBER) WorkScope scope,
            long ownReadMillis,
            List<DrainEntry> drains,
            List<String> leaving,
            long directoryEra,
            long storeEra)
            implements RoutingMessage {
        /** Refuses a message that lacks a component; earlier releases do not tell of drained data centres, or of leaving endpoints. */
        @SuppressWarnings("NullAway") // a decoder leaves out what a message lacks
        public RoutingState {
            work = List.copyOf(work);
            failing = List.copyOf(failing);
            Objects.requireNonNull(scope, "scope");
            drains = List.copyOf(Objects.requireNonNullElse(drains, List.of()));
            leaving = List.copyOf(Objects.requireNonNullElse(leaving, List.of()));
        }
    }

    /**
     * Whether endpoints of a data centre are to get nothing new.
     *
     * @param dataCentre the data centre
     * @param revision the store's revision at which that was said; the highest of the latest era holds
     * @param drained whether they are to get nothing new; false once that was taken back
     * @param forMillis for how long that has held, as far as the sender knows
     * @param era how often the store had been restored from a snapshot when that was said; 0 from earlier releases
     * @since 0.6.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record DrainEntry(String dataCentre, long revision, boolean drained, long forMillis, long era) {
        /** Refuses a message that lacks a component. */
        public DrainEntry {
            Objects.requireNonNull(dataCentre, "dataCentre");
        }
    }

    /**
     * Work in flight at one endpoint.
     *
     * @param endpointId the endpoint
     * @param requests the requests
     * @param tokens their prompt tokens and the most tokens that they may generate
     * @since 0.2.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record EndpointWork(String endpointId, int requests, long tokens) {
        /** Refuses a message that lacks a component. */
        public EndpointWork {
            Objects.requireNonNull(endpointId, "endpointId");
        }
    }

    /**
     * What a router tells of requests with which endpoints have ended; told at once, and again a second later.
     *
     * @param suspects the requests
     * @param cleared requests that were answered since they were told of
     * @param scope how far the message has come: from a member, from the router that gathers a group, or to its members
     * @since 0.5.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record SuspectRequests(
            List<SuspectRequest> suspects,
            List<RequestName> cleared,
            @JsonFormat(shape = JsonFormat.Shape.NUMBER) WorkScope scope)
            implements RoutingMessage {
        /** Refuses a message that lacks a component. */
        public SuspectRequests {
            suspects = List.copyOf(suspects);
            cleared = List.copyOf(cleared);
            Objects.requireNonNull(scope, "scope");
        }
    }

    /**
     * A request by its digests; nothing of the request itself is told.
     *
     * @param workspace that of the workspace's name
     * @param target that of method, host, path and query
     * @param body that of the body
     * @since 0.5.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record RequestName(long workspace, long target, long body) {}

    /**
     * A request with which endpoints have ended.
     *
     * @param request the request
     * @param ends the endpoints
     * @param triedMillisAgo how long ago it was let through to find out whether it still ends its endpoint; negative if it was not
     * @since 0.5.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record SuspectRequest(RequestName request, List<EndedEndpoint> ends, long triedMillisAgo) {
        /** Refuses a message that lacks a component. */
        public SuspectRequest {
            Objects.requireNonNull(request, "request");
            ends = List.copyOf(ends);
        }
    }

    /**
     * An endpoint that ended while a request was at work there.
     *
     * @param endpointHash the hash of its id
     * @param ageMillis how long ago
     * @param atWorkMillis how long before its end the request had been sent there
     * @since 0.5.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record EndedEndpoint(long endpointHash, long ageMillis, long atWorkMillis) {}

    /**
     * Asks for a document that the receiver holds; it is answered with a {@link Document}.
     *
     * @param name which
     * @param unpacks whether the sender reads packed documents
     * @param baseHash the hash of the version that the sender has; empty if it has none
     * @since 0.2.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record DocumentWanted(String name, boolean unpacks, String baseHash) implements RoutingMessage {
        /** Refuses a message that lacks its name; earlier releases send nothing else. */
        @SuppressWarnings("NullAway") // a decoder leaves out what a message lacks
        public DocumentWanted {
            Objects.requireNonNull(name, "name");
            baseHash = Objects.requireNonNullElse(baseHash, "");
        }
    }

    /**
     * A document as the sender holds it.
     *
     * @param name which
     * @param version its version; -1 if the sender has none
     * @param content its bytes, as they are packed
     * @param packing how it is packed
     * @param hash the hash of the document; empty if it is not told
     * @param baseHash the hash of the version that it was packed against; empty for none
     * @since 0.2.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Document(
            String name,
            long version,
            byte[] content,
            @JsonFormat(shape = JsonFormat.Shape.NUMBER) DocumentPacking packing,
            String hash,
            String baseHash)
            implements RoutingMessage {
        /** Refuses a message that lacks its name or content; earlier releases send no more, and plain documents. */
        @SuppressWarnings("NullAway") // a decoder leaves out what a message lacks
        public Document {
            Objects.requireNonNull(name, "name");
            Objects.requireNonNull(content, "content");
            packing = Objects.requireNonNullElse(packing, DocumentPacking.PLAIN);
            hash = Objects.requireNonNullElse(hash, "");
            baseHash = Objects.requireNonNullElse(baseHash, "");
        }

        /**
         * Returns a message with a packed document.
         *
         * @param name which
         * @param version its version
         * @param document the document
         */
        public static Document of(String name, long version, PackedDocument document) {
            return new Document(
                    name, version, document.content(), document.packing(), document.hash(), document.baseHash());
        }

        /** Returns the document that it carries. */
        public PackedDocument packed() {
            return new PackedDocument(packing, content, hash, baseHash);
        }
    }
}
