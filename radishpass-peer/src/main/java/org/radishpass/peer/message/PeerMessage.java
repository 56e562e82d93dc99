package org.radishpass.peer.message;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Optional;
import org.radishpass.core.admission.PriorityClass;
import org.radishpass.core.fleet.EndpointState;
import org.radishpass.core.load.SlotAnswer;
import org.radishpass.records.ConfigurationChange;
import org.radishpass.records.StoredRecord;

/**
 * A message between routers.
 *
 * <p>Each message is encoded as an array, so the order of the components is part of the protocol: new components are
 * added at the end. Deadlines are sent as the remaining time, because clocks differ; the receiver converts them to
 * deadlines on its own clock.
 *
 * @since 0.1.0
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonSubTypes({
    @JsonSubTypes.Type(value = PeerMessage.Hello.class, name = "h"),
    @JsonSubTypes.Type(value = PeerMessage.Head.class, name = "v"),
    @JsonSubTypes.Type(value = PeerMessage.ChangesWanted.class, name = "cw"),
    @JsonSubTypes.Type(value = PeerMessage.Changes.class, name = "c"),
    @JsonSubTypes.Type(value = PeerMessage.SlotWanted.class, name = "s"),
    @JsonSubTypes.Type(value = PeerMessage.SlotReply.class, name = "sr"),
    @JsonSubTypes.Type(value = PeerMessage.SlotFreed.class, name = "f"),
    @JsonSubTypes.Type(value = PeerMessage.SlotHeld.class, name = "sh"),
    @JsonSubTypes.Type(value = PeerMessage.PoolParts.class, name = "p"),
    @JsonSubTypes.Type(value = PeerMessage.PoolTotals.class, name = "pt"),
    @JsonSubTypes.Type(value = PeerMessage.EndpointReports.class, name = "e"),
    @JsonSubTypes.Type(value = PeerMessage.Leaving.class, name = "l"),
    @JsonSubTypes.Type(value = PeerMessage.TicketRun.class, name = "t"),
    @JsonSubTypes.Type(value = PeerMessage.TicketDone.class, name = "td"),
    @JsonSubTypes.Type(value = PeerMessage.Done.class, name = "d"),
    @JsonSubTypes.Type(value = RoutingMessage.RoutingState.class, name = "rs"),
    @JsonSubTypes.Type(value = RoutingMessage.RouterList.class, name = "rl"),
    @JsonSubTypes.Type(value = RoutingMessage.DocumentWanted.class, name = "dw"),
    @JsonSubTypes.Type(value = RoutingMessage.Document.class, name = "do"),
    @JsonSubTypes.Type(value = RoutingMessage.Introduction.class, name = "in"),
    @JsonSubTypes.Type(value = RoutingMessage.SuspectRequests.class, name = "sq"),
    @JsonSubTypes.Type(value = RoutingMessage.StreamOrigins.class, name = "so"),
    @JsonSubTypes.Type(value = RoutingMessage.StreamOriginWanted.class, name = "sw"),
    @JsonSubTypes.Type(value = RoutingMessage.StreamOriginFound.class, name = "sf"),
    @JsonSubTypes.Type(value = RoutingMessage.StreamVersions.class, name = "sv")
})
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public sealed interface PeerMessage
        permits PeerMessage.Hello,
                PeerMessage.Head,
                PeerMessage.ChangesWanted,
                PeerMessage.Changes,
                PeerMessage.SlotWanted,
                PeerMessage.SlotReply,
                PeerMessage.SlotFreed,
                PeerMessage.SlotHeld,
                PeerMessage.PoolParts,
                PeerMessage.PoolTotals,
                PeerMessage.EndpointReports,
                PeerMessage.Leaving,
                PeerMessage.TicketRun,
                PeerMessage.TicketDone,
                PeerMessage.Done,
                RoutingMessage {
    /** Returns the kind of this message: the label under which its bytes are counted. */
    default String kind() {
        return getClass().getSimpleName();
    }

    /**
     * Returns the id of the sender, if this message introduces the sender on a new connection.
     *
     * @since 0.3.0
     */
    default Optional<String> senderId() {
        return Optional.empty();
    }

    /**
     * Introduces the sender: the first message on a connection.
     *
     * @param vmId the id of the sender's VM
     * @param incarnation identifies the current run of the sender; a restart changes it
     * @param revision the revision of the configuration in force at the sender
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Hello(String vmId, String incarnation, long revision) implements PeerMessage {
        @Override
        public Optional<String> senderId() {
            return Optional.of(vmId);
        }
    }

    /**
     * Announces a revision of the configuration that the store has accepted.
     *
     * @param revision the revision
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Head(long revision) implements PeerMessage {}

    /**
     * Requests the configuration changes after a revision; {@link Changes} is the response.
     *
     * @param after the revision that the sender has
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record ChangesWanted(long after) implements PeerMessage {}

    /**
     * The sender's configuration: either the changes since the requested revision, or all records.
     *
     * @param revision the sender's revision
     * @param changes the changes since the requested revision, if the sender still has all of them
     * @param records all records, if the sender no longer has all changes
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Changes(long revision, List<ConfigurationChange> changes, List<StoredRecord> records)
            implements PeerMessage {}

    /**
     * Requests a slot from the owner of an endpoint; {@link SlotReply} is the response.
     *
     * @param slotId the id of the slot, unique among the slots of its holder
     * @param endpointId the endpoint
     * @param pool the pool whose mean load limits the endpoint's load
     * @param priority the class of the request
     * @param bound the multiple of the mean load that the endpoint may run
     * @param remainingMillis the time until the slot expires, in milliseconds
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record SlotWanted(
            long slotId,
            String endpointId,
            String pool,
            @JsonFormat(shape = JsonFormat.Shape.NUMBER) PriorityClass priority,
            float bound,
            int remainingMillis)
            implements PeerMessage {}

    /**
     * The response to {@link SlotWanted}.
     *
     * @param answer whether the slot was granted, or why not
     * @param running the number of requests that the endpoint runs
     * @param limit the number of requests that the endpoint may run for this pool and bound
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record SlotReply(
            @JsonFormat(shape = JsonFormat.Shape.NUMBER) SlotAnswer answer, int running, int limit)
            implements PeerMessage {}

    /**
     * Releases a slot.
     *
     * @param slotId the id of the slot, unique among the slots of its holder
     * @param endpointId the endpoint
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record SlotFreed(long slotId, String endpointId) implements PeerMessage {}

    /**
     * Informs the new owner of an endpoint about a slot that an earlier owner granted.
     *
     * @param slotId the id of the slot, unique among the slots of its holder
     * @param endpointId the endpoint
     * @param priority the class of the request
     * @param remainingMillis the time until the slot expires, in milliseconds
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record SlotHeld(
            long slotId,
            String endpointId,
            @JsonFormat(shape = JsonFormat.Shape.NUMBER) PriorityClass priority,
            int remainingMillis)
            implements PeerMessage {}

    /**
     * The sender's share of the load of pools, for the router that computes the totals; {@link PoolTotals} is the
     * response.
     *
     * @param parts for each pool, the load of the endpoints that the sender owns
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record PoolParts(List<PoolSum> parts) implements PeerMessage {}

    /**
     * The total load of pools.
     *
     * @param totals the load of each requested pool
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record PoolTotals(List<PoolSum> totals) implements PeerMessage {}

    /**
     * The load of a pool or of a part of a pool.
     *
     * @param pool the pool
     * @param running the number of running requests
     * @param weight the sum of the weights of the endpoints
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record PoolSum(String pool, int running, float weight) {}

    /**
     * The states of endpoints, as the sender's probes found them. The sender owns these endpoints.
     *
     * @param reports one report for each endpoint
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record EndpointReports(List<EndpointReport> reports) implements PeerMessage {}

    /**
     * The state that an endpoint reported about itself.
     *
     * @param endpointId the endpoint
     * @param incarnation identifies the current run of the endpoint; a restart changes it
     * @param sequence the number of the report, which increases within an incarnation
     * @param state the lifecycle state of the endpoint
     * @param pools the pools that the endpoint serves
     * @param running the number of requests that the endpoint runs
     * @param capacity the number of requests that the endpoint can run at once
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record EndpointReport(
            String endpointId,
            String incarnation,
            long sequence,
            EndpointState state,
            List<String> pools,
            int running,
            int capacity) {}

    /**
     * Announces that the sender is stopping.
     *
     * @param vmId the id of the sender's VM
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Leaving(String vmId) implements PeerMessage {}

    /**
     * Forwards a call with a ticket to the router that issued the ticket; {@link TicketDone} is the response.
     *
     * @param ticket the ticket
     * @param workspace the workspace; the sender has already checked its API key
     * @param service the service
     * @param method the HTTP method
     * @param path the path and query of the call at the service
     * @param contentType the media type of the body; empty without a body
     * @param body the body
     * @param priority the class of the request
     * @param remainingMillis the time until the deadline of the call, in milliseconds
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record TicketRun(
            String ticket,
            String workspace,
            String service,
            String method,
            String path,
            String contentType,
            byte[] body,
            @JsonFormat(shape = JsonFormat.Shape.NUMBER) PriorityClass priority,
            int remainingMillis)
            implements PeerMessage {}

    /**
     * The result of a call with a ticket: a response, or a refusal if the code is not empty.
     *
     * @param status the HTTP status
     * @param contentType the media type of the body; empty without a body
     * @param body the body
     * @param code the code of a refusal; empty for a response
     * @param verdict the verdict of a refusal
     * @param detail the reason of a refusal, as one human-readable sentence
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record TicketDone(int status, String contentType, byte[] body, String code, String verdict, String detail)
            implements PeerMessage {}

    /** The response to a request whose response has no content. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Done() implements PeerMessage {}
}
