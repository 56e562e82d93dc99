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
 * <p>Each is written as an array, so the order of components is part of the protocol: new ones are added at the end. What
 * would be a deadline is sent as what is left of it, and becomes a deadline by the receiver's own clock.
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
    @JsonSubTypes.Type(value = RoutingMessage.SuspectRequests.class, name = "sq")
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
    /** Returns the name under which its bytes are counted. */
    default String kind() {
        return getClass().getSimpleName();
    }

    /**
     * Returns who speaks, if this is the first message on a connection.
     *
     * @since 0.3.0
     */
    default Optional<String> speaker() {
        return Optional.empty();
    }

    /**
     * The first message on a connection: who speaks.
     *
     * @param vmId the speaker's machine
     * @param incarnation which start of it this is
     * @param revision the configuration it has in force
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Hello(String vmId, String incarnation, long revision) implements PeerMessage {
        @Override
        public Optional<String> speaker() {
            return Optional.of(vmId);
        }
    }

    /**
     * Tells of a revision that the store has accepted.
     *
     * @param revision the revision
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Head(long revision) implements PeerMessage {}

    /**
     * Asks for the configuration after a revision.
     *
     * @param after the revision
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record ChangesWanted(long after) implements PeerMessage {}

    /**
     * The configuration as the sender has it.
     *
     * @param revision the sender's revision
     * @param changes the changes since the revision asked for, if the sender still has all of them
     * @param records else all records
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Changes(long revision, List<ConfigurationChange> changes, List<StoredRecord> records)
            implements PeerMessage {}

    /**
     * Asks an endpoint's owner for a slot.
     *
     * @param slotId the slot, unique among its holder's
     * @param endpointId the endpoint
     * @param pool the pool whose mean load counts
     * @param priority the class of the request
     * @param bound the multiple of the mean
     * @param leftMillis after how long the slot lapses
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record SlotWanted(
            long slotId,
            String endpointId,
            String pool,
            @JsonFormat(shape = JsonFormat.Shape.NUMBER) PriorityClass priority,
            float bound,
            int leftMillis)
            implements PeerMessage {}

    /**
     * Answers {@link SlotWanted}.
     *
     * @param answer granted or why not
     * @param running the endpoint's load
     * @param limit the most that it may run for this pool and bound
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record SlotReply(
            @JsonFormat(shape = JsonFormat.Shape.NUMBER) SlotAnswer answer, int running, int limit)
            implements PeerMessage {}

    /**
     * Frees a slot.
     *
     * @param slotId the slot, unique among its holder's
     * @param endpointId the endpoint
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record SlotFreed(long slotId, String endpointId) implements PeerMessage {}

    /**
     * Tells a new owner of a slot that an earlier owner granted.
     *
     * @param slotId the slot, unique among its holder's
     * @param endpointId the endpoint
     * @param priority the class of the request
     * @param leftMillis after how long the slot lapses
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record SlotHeld(
            long slotId,
            String endpointId,
            @JsonFormat(shape = JsonFormat.Shape.NUMBER) PriorityClass priority,
            int leftMillis)
            implements PeerMessage {}

    /**
     * An owner's parts of pools, for the router that adds them up; it answers with {@link PoolTotals}.
     *
     * @param parts the load of the endpoints that the sender owns
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record PoolParts(List<PoolSum> parts) implements PeerMessage {}

    /**
     * The load of whole pools.
     *
     * @param totals the pools that were asked about
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record PoolTotals(List<PoolSum> totals) implements PeerMessage {}

    /**
     * The load of a pool or of a part of it.
     *
     * @param pool the pool
     * @param running the requests that run
     * @param weight the sum of weights
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record PoolSum(String pool, int running, float weight) {}

    /**
     * What an owner's probes found.
     *
     * @param reports a report for each endpoint
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record EndpointReports(List<EndpointReport> reports) implements PeerMessage {}

    /**
     * What an endpoint said of itself.
     *
     * @param endpointId the endpoint
     * @param incarnation which start of it
     * @param sequence grows with each report of an incarnation
     * @param state the stage of its life
     * @param pools the pools that it serves
     * @param running the requests that it runs
     * @param capacity the requests that it can run at once
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
     * Tells that the sender is stopping.
     *
     * @param vmId the sender
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Leaving(String vmId) implements PeerMessage {}

    /**
     * Passes a call on to the router that gave its ticket out; it answers with {@link TicketDone}.
     *
     * @param ticket the ticket
     * @param workspace the workspace, whose key the sender has checked
     * @param service the service
     * @param method the HTTP method
     * @param path the path and query at the service
     * @param contentType the type of the body, empty without one
     * @param body the body
     * @param priority the class of the request
     * @param leftMillis what is left until its deadline
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
            int leftMillis)
            implements PeerMessage {}

    /**
     * What became of a call with a ticket: an answer, or a refusal if the code is not empty.
     *
     * @param status the HTTP status
     * @param contentType the type of the body, empty without one
     * @param body the body
     * @param code the code of a refusal
     * @param verdict the verdict of a refusal
     * @param detail one sentence for people
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record TicketDone(int status, String contentType, byte[] body, String code, String verdict, String detail)
            implements PeerMessage {}

    /** An answer without content. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Done() implements PeerMessage {}
}
