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
import org.radishpass.router.internal.endpoint.CompleteResponse;
import org.radishpass.tables.once.ClaimStore;
import reactor.core.publisher.Mono;

/**
 * Ensures that a non-idempotent request with an idempotency key runs at most once in the whole fleet.
 *
 * <p>The key is claimed in the platform's store before the request is sent to an endpoint. The response is stored with
 * the claim, so that a caller that lost the response can fetch it again from any router. If the store is unavailable,
 * the request is refused with the verdict {@code NOT_RUN}. Keys that are tickets do not need the store.
 *
 * @since 0.1.0
 */
final class AtMostOnceGuard {
    private static final int MAX_STORED_BYTES = 64 * 1024;
    private static final Duration FINISH_TIMEOUT = Duration.ofSeconds(1);

    private final ClaimStore claims;
    private final TicketService tickets;
    private final java.time.Clock clock;

    AtMostOnceGuard(ClaimStore claims, TicketService tickets, java.time.Clock clock) {
        this.claims = claims;
        this.tickets = tickets;
        this.clock = clock;
    }

    /**
     * Runs a request unless the request ran, or may have run, before. A started request continues even if the caller
     * disconnects.
     *
     * @param caller the caller's request
     * @param call the call, which must have a key
     * @param run executes the call
     */
    Mono<CompleteResponse> runAtMostOnce(CallerRequest caller, ServiceCall call, ServiceRun run) {
        Optional<Ticket> ticket = Ticket.parse(String.valueOf(call.key()));
        if (ticket.isPresent()) {
            return tickets.redeem(ticket.get(), caller, call, run);
        }
        String key = caller.workspace().name() + '/' + call.service() + '/' + call.key();
        Claim claim = Claim.open(caller.id(), requestHash(call), clock.instant());
        Mono<CompleteResponse> response = claims.claim(key, claim)
                .flatMap(decision -> applyDecision(decision, key, claim, run))
                .cache();
        response.subscribe(done -> {}, error -> {
            // the caller's own subscription reports the error
        });
        return response;
    }

    private Mono<CompleteResponse> applyDecision(ClaimDecision decision, String key, Claim claim, ServiceRun run) {
        if (decision instanceof ClaimDecision.Run) {
            return runClaimed(key, claim, run);
        }
        if (decision instanceof ClaimDecision.Replay replay) {
            return Mono.just(storedResponse(replay.claim()));
        }
        return Mono.error(new RefusedException(refusal(decision)));
    }

    private Mono<CompleteResponse> runClaimed(String key, Claim claim, ServiceRun run) {
        return run.response()
                .flatMap(response -> store(key, claim, response).thenReturn(response))
                .onErrorResume(RefusedException.class, refused -> {
                    if (refused.refusal().verdict() != Verdict.NOT_RUN) {
                        return Mono.error(refused);
                    }
                    return claims.withdraw(key, claim).onErrorReturn(false).then(Mono.error(refused));
                });
    }

    private Mono<Void> store(String key, Claim claim, CompleteResponse response) {
        if (response.body().length > MAX_STORED_BYTES) {
            return Mono.empty();
        }
        String body = Base64.getEncoder().encodeToString(response.body());
        return claims.finish(key, claim.done(response.status(), response.contentType(), body))
                .timeout(FINISH_TIMEOUT)
                .onErrorComplete();
    }

    private static CompleteResponse storedResponse(Claim claim) {
        Integer status = claim.status();
        String body = claim.body();
        return new CompleteResponse(
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

    /** Returns the hash of a call's method, path and body, which detects a key that is reused for another request. */
    static String requestHash(ServiceCall call) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update((call.method() + ' ' + call.path() + '\n').getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest.digest(call.body()));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
