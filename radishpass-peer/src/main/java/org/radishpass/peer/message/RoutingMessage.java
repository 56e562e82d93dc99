package org.radishpass.peer.message;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.radishpass.peer.document.DocumentPacking;
import org.radishpass.peer.document.PackedDocument;

/**
 * A message between routers that route requests to endpoints.
 *
 * @since 0.3.0
 */
public sealed interface RoutingMessage extends PeerMessage {
    /**
     * Introduces the sender: the first message on a connection.
     *
     * @param router the sender
     * @since 0.3.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Introduction(RouterEntry router) implements RoutingMessage {
        /** Rejects a message that lacks a component. */
        public Introduction {
            Objects.requireNonNull(router, "router");
        }

        @Override
        public Optional<String> senderId() {
            return Optional.of(router.address());
        }
    }

    /**
     * A router, as its peers know it.
     *
     * @param address the address on which the router listens for peers, as IP:PORT
     * @param dataCentre the data centre of the router; empty if the sender does not know it
     * @param cores the processor time that the router may use, in cores
     * @param relayPort the port at which the router accepts requests that other routers relay; 0 for none, and from
     *     earlier releases
     * @param messageLevel the level of messages that the router reads; 0 from earlier releases
     * @since 0.3.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record RouterEntry(String address, String dataCentre, double cores, int relayPort, int messageLevel) {
        /** Rejects a message that lacks a component. */
        public RouterEntry {
            Objects.requireNonNull(address, "address");
            Objects.requireNonNull(dataCentre, "dataCentre");
        }
    }

    /**
     * What began streams, for the routers that keep it.
     *
     * @param origins the streams with their origins
     * @since 0.10.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record StreamOrigins(List<StreamOriginEntry> origins) implements RoutingMessage {
        /** Rejects a message that lacks a component. */
        public StreamOrigins {
            origins = List.copyOf(origins);
        }
    }

    /**
     * What began one stream.
     *
     * @param stream the hash of the stream
     * @param service the service of the endpoint that sent the first event
     * @param version the software version of that endpoint
     * @param remainingMillis the time for which the stream can still be taken up, in milliseconds
     * @since 0.10.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record StreamOriginEntry(long stream, String service, String version, long remainingMillis) {
        /** Rejects a message that lacks a component. */
        public StreamOriginEntry {
            Objects.requireNonNull(service, "service");
            Objects.requireNonNull(version, "version");
        }
    }

    /**
     * Asks what began a stream.
     *
     * @param stream the hash of the stream
     * @param service the service to which a request without a stream would go
     * @param lifetimeMillis the longest time for which a stream can be taken up, in milliseconds
     * @since 0.10.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record StreamOriginWanted(long stream, String service, long lifetimeMillis) implements RoutingMessage {
        /** Rejects a message that lacks a component. */
        public StreamOriginWanted {
            Objects.requireNonNull(service, "service");
        }
    }

    /**
     * The answer to {@link StreamOriginWanted}.
     *
     * @param service the service that began the stream; empty if the sender does not know it
     * @param version the software version that began the stream; empty if the sender does not know it
     * @since 0.10.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record StreamOriginFound(String service, String version) implements RoutingMessage {
        /** Rejects a message that lacks a component. */
        public StreamOriginFound {
            Objects.requireNonNull(service, "service");
            Objects.requireNonNull(version, "version");
        }
    }

    /**
     * The record of the software versions at which streams may have begun, as read from the store.
     *
     * @param era the era of the store in which the record was read
     * @param revision the revision of the store at which the record was written
     * @param recordEra the era of the store in which the record was written
     * @param unknownUntilMillis streams that began earlier may be of any version, on the store's clock in milliseconds
     * @param periods the periods of the versions
     * @since 0.13.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record StreamVersions(
            long era, long revision, long recordEra, long unknownUntilMillis, List<StreamVersionEntry> periods)
            implements RoutingMessage {
        /** Rejects a message that lacks a component. */
        public StreamVersions {
            periods = List.copyOf(periods);
        }
    }

    /**
     * A period in which streams may have begun at one software version of a service.
     *
     * @param service the name of the service
     * @param version the software version; empty if unknown
     * @param endedAtMillis the end of the period, on the store's clock in milliseconds; the largest number for none
     * @since 0.13.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record StreamVersionEntry(String service, String version, long endedAtMillis) {
        /** Rejects a message that lacks a component. */
        public StreamVersionEntry {
            Objects.requireNonNull(service, "service");
            Objects.requireNonNull(version, "version");
        }
    }

    /**
     * The routers that the sender knows to be alive.
     *
     * @param routers the routers
     * @since 0.2.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record RouterList(List<RouterEntry> routers) implements RoutingMessage {
        /** Rejects a message that lacks a component. */
        public RouterList {
            routers = List.copyOf(routers);
        }
    }

    /**
     * A periodic report, sent several times a second: work in flight, and how recent the sender's data is.
     *
     * @param configurationVersion the version of the configuration in force at the sender; -1 before the sender has one
     * @param directoryRevision the revision of the endpoint list that the sender read last; -1 before the sender has read one
     * @param work the work in flight at each endpoint, of the routers in the scope
     * @param directoryHash the hash of the endpoint list
     * @param directoryReadMillis the time when the store was read for that list, on the store's clock in milliseconds
     * @param directorySettled whether endpoints that were missing from that read have been removed from the list
     * @param failing the endpoints that fail too many requests
     * @param scope the routers whose work the message describes
     * @param ownReadMillis the time when the sender itself last read the store, on the store's clock in milliseconds
     * @param drains the data centres for which the operator has set whether they are drained
     * @param leaving endpoints whose own responses stated that they are leaving, and whose leaving the store has not
     *     confirmed yet; only some of them if there are many
     * @param directoryEra the number of times that the store had been restored from a snapshot when it was read for the
     *     endpoint list; 0 from earlier releases
     * @param storeEra the number of times that the store has been restored from a snapshot, as far as the sender knows;
     *     0 from earlier releases
     * @param demand the demand for services, of the routers in the scope; empty while no service is contended
     * @param loads the loads that endpoints stated to the routers in the scope; empty while no router uses them
     * @param partitions the services that the sender and other routers do not reach; empty from earlier releases
     * @since 0.2.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record RoutingState(
            long configurationVersion,
            long directoryRevision,
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
            long storeEra,
            List<DemandEntry> demand,
            List<LoadEntry> loads,
            List<PartitionEntry> partitions)
            implements RoutingMessage {
        /**
         * Rejects a message that lacks a component, except drained data centres, leaving endpoints, demand, loads and
         * partitions: earlier releases do not send them.
         */
        @SuppressWarnings("NullAway") // the decoder passes null for components that a message lacks
        public RoutingState {
            work = List.copyOf(work);
            failing = List.copyOf(failing);
            Objects.requireNonNull(scope, "scope");
            drains = List.copyOf(Objects.requireNonNullElse(drains, List.of()));
            leaving = List.copyOf(Objects.requireNonNullElse(leaving, List.of()));
            demand = List.copyOf(Objects.requireNonNullElse(demand, List.of()));
            loads = List.copyOf(Objects.requireNonNullElse(loads, List.of()));
            partitions = List.copyOf(Objects.requireNonNullElse(partitions, List.of()));
        }
    }

    /**
     * The services of which a router reaches no endpoint.
     *
     * @param router the id of the router
     * @param services the services
     * @param ageMillis the time since the router observed it, in milliseconds
     * @since 0.9.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record PartitionEntry(String router, List<String> services, long ageMillis) {
        /** Rejects a message that lacks a component. */
        public PartitionEntry {
            Objects.requireNonNull(router, "router");
            services = List.copyOf(services);
        }
    }

    /**
     * The demand of a workspace for a service at one urgency.
     *
     * @param service the service
     * @param workspace the workspace; empty for requests without a workspace
     * @param urgency the urgency; 0 is the most urgent
     * @param arrived the requests that arrived, per second
     * @param sent the requests that were sent to an endpoint, per second
     * @param completed the requests whose response was completed, per second
     * @param refused the requests that were refused for lack of capacity, per second
     * @since 0.8.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record DemandEntry(
            String service,
            String workspace,
            int urgency,
            double arrived,
            double sent,
            double completed,
            double refused) {
        /** Rejects a message that lacks a component. */
        public DemandEntry {
            Objects.requireNonNull(service, "service");
            Objects.requireNonNull(workspace, "workspace");
        }
    }

    /**
     * The load that an endpoint stated in a response.
     *
     * @param endpointId the endpoint
     * @param running the number of running requests
     * @param waiting the number of requests that wait for a slot
     * @param slots the number of requests that can run concurrently
     * @param slowdownPercent how long work takes compared with the usual time, in percent; 0 if not stated
     * @param samples the number of responses on which the entry is based
     * @param ageMillis the time since the last of these responses, in milliseconds
     * @since 0.8.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record LoadEntry(
            String endpointId, int running, int waiting, int slots, int slowdownPercent, int samples, long ageMillis) {
        /** Rejects a message that lacks a component. */
        public LoadEntry {
            Objects.requireNonNull(endpointId, "endpointId");
        }
    }

    /**
     * Whether a data centre is drained, that is, whether its endpoints get no new requests.
     *
     * @param dataCentre the data centre
     * @param revision the revision of the store at which this was set; of several entries, the one with the latest era
     *     and then the highest revision applies
     * @param drained whether the data centre is drained; false once the drain was revoked
     * @param forMillis the time since this took effect, as far as the sender knows, in milliseconds
     * @param era the number of times that the store had been restored from a snapshot when this was set; 0 from earlier
     *     releases
     * @since 0.6.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record DrainEntry(String dataCentre, long revision, boolean drained, long forMillis, long era) {
        /** Rejects a message that lacks a component. */
        public DrainEntry {
            Objects.requireNonNull(dataCentre, "dataCentre");
        }
    }

    /**
     * The work in flight at an endpoint.
     *
     * @param endpointId the endpoint
     * @param requests the number of requests
     * @param tokens the prompt tokens of these requests plus the maximum number of tokens that they may generate
     * @since 0.2.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record EndpointWork(String endpointId, int requests, long tokens) {
        /** Rejects a message that lacks a component. */
        public EndpointWork {
            Objects.requireNonNull(endpointId, "endpointId");
        }
    }

    /**
     * Requests that may crash endpoints: endpoints ended while running them. Sent at once, and again a second later.
     *
     * @param suspects the requests
     * @param cleared requests that were reported earlier and have been answered since
     * @param scope the stage of propagation: from a member to its gatherer, between gatherers, or from a gatherer to
     *     its members
     * @since 0.5.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record SuspectRequests(
            List<SuspectRequest> suspects,
            List<RequestDigests> cleared,
            @JsonFormat(shape = JsonFormat.Shape.NUMBER) WorkScope scope)
            implements RoutingMessage {
        /** Rejects a message that lacks a component. */
        public SuspectRequests {
            suspects = List.copyOf(suspects);
            cleared = List.copyOf(cleared);
            Objects.requireNonNull(scope, "scope");
        }
    }

    /**
     * Identifies a request by digests, so that none of its content is sent.
     *
     * @param workspace the digest of the workspace's name
     * @param target the digest of method, host, path and query
     * @param body the digest of the body
     * @since 0.5.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record RequestDigests(long workspace, long target, long body) {}

    /**
     * A request during which endpoints have ended.
     *
     * @param request the digests of the request
     * @param ends the endpoints that ended
     * @param triedMillisAgo the time since the request was last let through to test whether it still ends its endpoint,
     *     in milliseconds; negative if it was not let through
     * @since 0.5.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record SuspectRequest(RequestDigests request, List<EndedEndpoint> ends, long triedMillisAgo) {
        /** Rejects a message that lacks a component. */
        public SuspectRequest {
            Objects.requireNonNull(request, "request");
            ends = List.copyOf(ends);
        }
    }

    /**
     * An endpoint that ended while it was running a request.
     *
     * @param endpointHash the hash of the endpoint's id
     * @param ageMillis the time since the endpoint ended, in milliseconds
     * @param inProgressMillis the time between sending the request to the endpoint and the endpoint's end, in milliseconds
     * @since 0.5.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record EndedEndpoint(long endpointHash, long ageMillis, long inProgressMillis) {}

    /**
     * Requests a document from the receiver; {@link Document} is the response.
     *
     * @param name the name of the document
     * @param acceptsPacked whether the sender can decode packed documents
     * @param baseHash the hash of the version that the sender has; empty if the sender has none
     * @since 0.2.0
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record DocumentWanted(String name, boolean acceptsPacked, String baseHash) implements RoutingMessage {
        /** Rejects a message that lacks the name; earlier releases send nothing else. */
        @SuppressWarnings("NullAway") // the decoder passes null for components that a message lacks
        public DocumentWanted {
            Objects.requireNonNull(name, "name");
            baseHash = Objects.requireNonNullElse(baseHash, "");
        }
    }

    /**
     * The sender's version of a document.
     *
     * @param name the name of the document
     * @param version the version of the document; -1 if the sender has none
     * @param content the encoded bytes of the document
     * @param packing the encoding
     * @param hash the hash of the decoded document; empty if the sender does not state it
     * @param baseHash the hash of the version that the document was encoded against; empty for none
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
        /**
         * Rejects a message that lacks the name or the content; earlier releases send nothing else, and only plain
         * documents.
         */
        @SuppressWarnings("NullAway") // the decoder passes null for components that a message lacks
        public Document {
            Objects.requireNonNull(name, "name");
            Objects.requireNonNull(content, "content");
            packing = Objects.requireNonNullElse(packing, DocumentPacking.PLAIN);
            hash = Objects.requireNonNullElse(hash, "");
            baseHash = Objects.requireNonNullElse(baseHash, "");
        }

        /**
         * Creates a message from an encoded document.
         *
         * @param name the name of the document
         * @param version the version of the document
         * @param document the encoded document
         */
        public static Document of(String name, long version, PackedDocument document) {
            return new Document(
                    name, version, document.content(), document.packing(), document.hash(), document.baseHash());
        }

        /** Returns the encoded document of this message. */
        public PackedDocument packed() {
            return new PackedDocument(packing, content, hash, baseHash);
        }
    }
}
