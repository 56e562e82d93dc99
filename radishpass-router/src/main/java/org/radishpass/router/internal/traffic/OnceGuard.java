package org.radishpass.router.internal.traffic;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.Base64;
import java.util.HexFormat;
import java.util.Optional;
import org.radishpass.core.once.Claim;
import org.radishpass.core.once.ClaimDecision;
import org.radishpass.core.once.Ticket;
import org.radishpass.core.outcome.Refusal;
import org.radishpass.core.outcome.RefusalCode;
import org.radishpass.core.outcome.Verdict;
import org.radishpass.router.internal.endpoint.WholeAnswer;
import org.radishpass.tables.once.ClaimStore;
import reactor.core.publisher.Mono;

/**
 * Lets a non-idempotent request with a key run at most once in the whole fleet.
 *
 * <p>The key is claimed in the platform's store before anything is sent. The answer is stored with the claim, so that a
 * caller that lost it gets it again from any router. Without the store the request is refused, truthfully, as not run,
 * unless its key is a ticket.
 *
 * @since 0.1.0
 */
final class OnceGuard {
    private static final int MOST_STORED_BYTES = 64 * 1024;
    private static final Duration FINISH_PATIENCE = Duration.ofSeconds(1);

    private final ClaimStore claims;
    private final TicketDesk tickets;
    private final java.time.Clock clock;

    OnceGuard(ClaimStore claims, TicketDesk tickets, java.time.Clock clock) {
        this.claims = claims;
        this.tickets = tickets;
        this.clock = clock;
    }

    /**
     * Runs a request unless it ran, or may have run, before. It goes on to its end even if the caller leaves.
     *
     * @param caller the caller's request
     * @param call the call, which has a key
     * @param run sends it
     */
    Mono<WholeAnswer> once(CallerRequest caller, ServiceCall call, ServiceRun run) {
        Optional<Ticket> ticket = Ticket.parse(String.valueOf(call.key()));
        if (ticket.isPresent()) {
            return tickets.redeem(ticket.get(), caller, call, run);
        }
        String key = caller.workspace().name() + '/' + call.service() + '/' + call.key();
        Claim claim = Claim.open(caller.id(), hash(call), clock.instant());
        Mono<WholeAnswer> answer = claims.claim(key, claim)
                .flatMap(decision -> act(decision, key, claim, run))
                .cache();
        answer.subscribe(done -> {}, error -> {
            // the caller's own subscription reports it
        });
        return answer;
    }

    private Mono<WholeAnswer> act(ClaimDecision decision, String key, Claim claim, ServiceRun run) {
        if (decision instanceof ClaimDecision.Run) {
            return run(key, claim, run);
        }
        if (decision instanceof ClaimDecision.Replay replay) {
            return Mono.just(replayed(replay.claim()));
        }
        return Mono.error(new RefusedException(refusal(decision)));
    }

    private Mono<WholeAnswer> run(String key, Claim claim, ServiceRun run) {
        return run.answer()
                .flatMap(answer -> store(key, claim, answer).thenReturn(answer))
                .onErrorResume(RefusedException.class, refused -> {
                    if (refused.refusal().verdict() != Verdict.NOT_RUN) {
                        return Mono.error(refused);
                    }
                    return claims.withdraw(key, claim).onErrorReturn(false).then(Mono.error(refused));
                });
    }

    private Mono<Void> store(String key, Claim claim, WholeAnswer answer) {
        if (answer.body().length > MOST_STORED_BYTES) {
            return Mono.empty();
        }
        String body = Base64.getEncoder().encodeToString(answer.body());
        return claims.finish(key, claim.done(answer.status(), answer.contentType(), body))
                .timeout(FINISH_PATIENCE)
                .onErrorComplete();
    }

    private static WholeAnswer replayed(Claim claim) {
        Integer status = claim.status();
        String body = claim.body();
        return new WholeAnswer(
                status == null ? 200 : status,
                claim.contentType(),
                Base64.getDecoder().decode(body == null ? "" : body));
    }

    private static Refusal refusal(ClaimDecision decision) {
        if (decision instanceof ClaimDecision.KeyReused) {
            return Refusal.notRun(RefusalCode.KEY_REUSED, "the key was used for a different request");
        }
        if (decision instanceof ClaimDecision.Unavailable unavailable) {
            return Refusal.notRun(RefusalCode.STORE_UNAVAILABLE, unavailable.detail());
        }
        return new Refusal(
                RefusalCode.IN_PROGRESS, Verdict.MAY_HAVE_RUN, "the same request is running, or its answer was lost");
    }

    /** Returns the hash of what a call asks. */
    static String hash(ServiceCall call) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update((call.method() + ' ' + call.path() + '\n').getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest.digest(call.body()));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
