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
import org.radishpass.router.internal.endpoint.WholeAnswer;
import reactor.core.publisher.Mono;

/**
 * Gives tickets out and lets each be used once, without the store.
 *
 * <p>A ticket names the start of the router that alone may run its request. Any other router passes the request on to
 * it; if it cannot be reached or is gone, the request may have run and is not run again.
 *
 * @since 0.1.0
 */
final class TicketDesk {
    private static final int MOST_BY_WORKSPACE = 2_000;

    private final TicketLedger<Mono<WholeAnswer>> ledger = new TicketLedger<>(MOST_BY_WORKSPACE);
    private final RouterControl control;
    private final Clock clock;

    TicketDesk(RouterControl control, Clock clock) {
        this.control = control;
        this.clock = clock;
    }

    /** Gives a ticket out. */
    Ticket issue(CallerRequest caller) {
        long number = ledger.issue(caller.workspace().name(), clock.instant());
        if (number < 0) {
            throw RefusedException.notRun(RefusalCode.WORKSPACE_LIMIT, "the workspace has too many open tickets");
        }
        return new Ticket(control.id(), control.incarnation(), number);
    }

    /** Runs a request with a ticket here, or where the ticket was given out. */
    Mono<WholeAnswer> redeem(Ticket ticket, CallerRequest caller, ServiceCall call, ServiceRun run) {
        if (ticket.router().equals(control.id()) && ticket.incarnation().equals(control.incarnation())) {
            return here(ticket, caller, call, run);
        }
        Optional<Vm> router = control.snapshot().fleet().vm(ticket.router());
        boolean gone = router.isEmpty() || ticket.router().equals(control.id());
        return gone
                ? Mono.error(lost("the router that gave the ticket out is gone"))
                : passOn(router.get(), ticket, caller, call);
    }

    private Mono<WholeAnswer> here(Ticket ticket, CallerRequest caller, ServiceCall call, ServiceRun run) {
        Mono<WholeAnswer> begun = run.answer()
                .doOnError(RefusedException.class, refused -> {
                    if (refused.refusal().verdict() == Verdict.NOT_RUN) {
                        ledger.notRun(ticket.number());
                    }
                })
                .cache();
        TicketDecision<Mono<WholeAnswer>> decision =
                ledger.redeem(ticket.number(), caller.workspace().name(), OnceGuard.hash(call), begun, clock.instant());
        if (decision instanceof TicketDecision.Begin) {
            begun.subscribe(done -> {}, error -> {
                // the caller's own subscription reports it
            });
            return begun;
        }
        if (decision instanceof TicketDecision.Join<Mono<WholeAnswer>> join) {
            return join.run();
        }
        return Mono.error(refusal(decision));
    }

    private Mono<WholeAnswer> passOn(Vm router, Ticket ticket, CallerRequest caller, ServiceCall call) {
        Duration left = Duration.between(clock.instant(), caller.deadline());
        PeerMessage.TicketRun message = new PeerMessage.TicketRun(
                ticket.text(),
                caller.workspace().name(),
                call.service(),
                call.method(),
                call.path(),
                call.contentType() == null ? "" : call.contentType(),
                call.body(),
                caller.priority(),
                (int) Math.max(0, Math.min(Integer.MAX_VALUE, left.toMillis())));
        return control.peers()
                .request(router, message, left)
                .onErrorMap(error -> lost("the router that gave the ticket out does not answer"))
                .flatMap(TicketDesk::answer);
    }

    private static Mono<WholeAnswer> answer(PeerMessage message) {
        if (!(message instanceof PeerMessage.TicketDone done)) {
            return Mono.error(lost("the router that gave the ticket out does not know tickets"));
        }
        if (done.code().isEmpty()) {
            String type = done.contentType().isEmpty() ? null : done.contentType();
            return Mono.just(new WholeAnswer(done.status(), type, done.body()));
        }
        return Mono.error(new RefusedException(
                new Refusal(RefusalCode.valueOf(done.code()), Verdict.valueOf(done.verdict()), done.detail())));
    }

    /** Turns an answer into the message for the router that passed the request on. */
    static PeerMessage done(WholeAnswer answer) {
        String type = answer.contentType() == null ? "" : answer.contentType();
        return new PeerMessage.TicketDone(answer.status(), type, answer.body(), "", "", "");
    }

    /** Turns a failure into the message for the router that passed the request on. */
    static PeerMessage failed(Throwable error) {
        Refusal refusal = RefusalWriter.refusalOf(error);
        return new PeerMessage.TicketDone(
                refusal.code().status(),
                "",
                new byte[0],
                refusal.code().name().toUpperCase(Locale.ROOT),
                refusal.verdict().name(),
                refusal.detail());
    }

    private static RefusedException refusal(TicketDecision<Mono<WholeAnswer>> decision) {
        if (decision instanceof TicketDecision.Reused) {
            return RefusedException.notRun(RefusalCode.KEY_REUSED, "the ticket was used for a different request");
        }
        if (decision instanceof TicketDecision.NeverIssued) {
            return RefusedException.notRun(RefusalCode.BAD_REQUEST, "no such ticket was given to this workspace");
        }
        return lost("the ticket is too old");
    }

    private static RefusedException lost(String detail) {
        return new RefusedException(new Refusal(RefusalCode.TICKET_LOST, Verdict.MAY_HAVE_RUN, detail));
    }
}
