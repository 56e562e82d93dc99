package org.radishpass.router.internal.traffic;

import java.time.Clock;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.radishpass.core.fleet.Vm;
import org.radishpass.core.once.Ticket;
import org.radishpass.core.once.TicketDecision;
import org.radishpass.core.once.TicketLedger;
import org.radishpass.core.outcome.Refusal;
import org.radishpass.core.outcome.RefusalCode;
import org.radishpass.core.outcome.Verdict;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.router.internal.control.RouterControl;
import org.radishpass.router.internal.endpoint.CompleteResponse;
import reactor.core.publisher.Mono;

/**
 * Issues tickets, which are idempotency keys that work without the store, and runs the request of each at most once.
 *
 * <p>A ticket contains the id and incarnation of the router that issued the ticket. Only that incarnation may run the
 * request; other routers forward the request to the issuer. If the issuer is unreachable or has restarted, the request
 * may have run and is not run again.
 *
 * @since 0.1.0
 */
final class TicketService {
    private static final int MAX_TICKETS_PER_WORKSPACE = 2_000;

    private final TicketLedger<Mono<CompleteResponse>> ledger = new TicketLedger<>(MAX_TICKETS_PER_WORKSPACE);
    private final RouterControl control;
    private final Clock clock;

    TicketService(RouterControl control, Clock clock) {
        this.control = control;
        this.clock = clock;
    }

    /** Issues a ticket to the caller's workspace. */
    Ticket issue(CallerRequest caller) {
        long number = ledger.issue(caller.workspace().name(), clock.instant());
        if (number < 0) {
            throw RefusedException.notRun(RefusalCode.WORKSPACE_LIMIT, "the workspace has too many open tickets");
        }
        return new Ticket(control.id(), control.incarnation(), number);
    }

    /** Runs a request with a ticket, at this router or at the router that issued the ticket. */
    Mono<CompleteResponse> redeem(Ticket ticket, CallerRequest caller, ServiceCall call, ServiceRun run) {
        if (ticket.router().equals(control.id()) && ticket.incarnation().equals(control.incarnation())) {
            return redeemLocally(ticket, caller, call, run);
        }
        Optional<Vm> issuer = control.snapshot().fleet().vm(ticket.router());
        boolean issuerGone = issuer.isEmpty() || ticket.router().equals(control.id());
        return issuerGone
                ? Mono.error(ticketLost("the router that gave the ticket out is gone"))
                : forward(issuer.get(), ticket, caller, call);
    }

    private Mono<CompleteResponse> redeemLocally(
            Ticket ticket, CallerRequest caller, ServiceCall call, ServiceRun run) {
        Mono<CompleteResponse> execution = run.response()
                .doOnError(RefusedException.class, refused -> {
                    if (refused.refusal().verdict() == Verdict.NOT_RUN) {
                        ledger.markNotRun(ticket.number());
                    }
                })
                .cache();
        TicketDecision<Mono<CompleteResponse>> decision = ledger.redeem(
                ticket.number(),
                caller.workspace().name(),
                AtMostOnceGuard.requestHash(call),
                execution,
                clock.instant());
        if (decision instanceof TicketDecision.Begin) {
            execution.subscribe(done -> {}, error -> {
                // the caller's own subscription reports the error
            });
            return execution;
        }
        if (decision instanceof TicketDecision.Join<Mono<CompleteResponse>> join) {
            return join.run();
        }
        return Mono.error(refusal(decision));
    }

    private Mono<CompleteResponse> forward(Vm issuer, Ticket ticket, CallerRequest caller, ServiceCall call) {
        Duration timeLeft = Duration.between(clock.instant(), caller.deadline());
        PeerMessage.TicketRun message = new PeerMessage.TicketRun(
                ticket.text(),
                caller.workspace().name(),
                call.service(),
                call.method(),
                call.path(),
                call.contentType() == null ? "" : call.contentType(),
                call.body(),
                caller.priority(),
                (int) Math.max(0, Math.min(Integer.MAX_VALUE, timeLeft.toMillis())));
        return control.peers()
                .request(issuer, message, timeLeft)
                .onErrorMap(error -> ticketLost("the router that gave the ticket out does not answer"))
                .flatMap(TicketService::fromMessage);
    }

    private static Mono<CompleteResponse> fromMessage(PeerMessage message) {
        if (!(message instanceof PeerMessage.TicketDone done)) {
            return Mono.error(ticketLost("the router that gave the ticket out does not know tickets"));
        }
        if (done.code().isEmpty()) {
            String type = done.contentType().isEmpty() ? null : done.contentType();
            return Mono.just(new CompleteResponse(done.status(), type, done.body()));
        }
        return Mono.error(new RefusedException(
                new Refusal(RefusalCode.valueOf(done.code()), Verdict.valueOf(done.verdict()), done.detail())));
    }

    /** Converts a response to the message for the router that forwarded the request. */
    static PeerMessage toMessage(CompleteResponse response) {
        String type = response.contentType() == null ? "" : response.contentType();
        return new PeerMessage.TicketDone(response.status(), type, response.body(), "", "", "");
    }

    /** Converts a failure to the message for the router that forwarded the request. */
    static PeerMessage toFailureMessage(Throwable error) {
        Refusal refusal = RefusalWriter.refusalOf(error);
        return new PeerMessage.TicketDone(
                refusal.code().status(),
                "",
                new byte[0],
                refusal.code().name().toUpperCase(Locale.ROOT),
                refusal.verdict().name(),
                refusal.detail());
    }

    private static RefusedException refusal(TicketDecision<Mono<CompleteResponse>> decision) {
        if (decision instanceof TicketDecision.Reused) {
            return RefusedException.notRun(RefusalCode.KEY_REUSED, "the ticket was used for a different request");
        }
        if (decision instanceof TicketDecision.NeverIssued) {
            return RefusedException.notRun(RefusalCode.BAD_REQUEST, "no such ticket was given to this workspace");
        }
        return ticketLost("the ticket is too old");
    }

    private static RefusedException ticketLost(String detail) {
        return new RefusedException(new Refusal(RefusalCode.TICKET_LOST, Verdict.MAY_HAVE_RUN, detail));
    }
}
