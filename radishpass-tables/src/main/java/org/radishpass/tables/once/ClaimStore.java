package org.radishpass.tables.once;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import org.radishpass.core.once.Claim;
import org.radishpass.core.once.ClaimDecision;
import org.radishpass.records.RecordJson;
import org.radishpass.tables.table.TableResult;
import org.radishpass.tables.table.TableRow;
import org.radishpass.tables.table.TableService;
import org.radishpass.tables.table.TableTransaction;
import reactor.core.publisher.Mono;

/**
 * Stores claims of non-idempotent requests in the table service, so that each request runs at most once in the whole
 * fleet.
 *
 * @since 0.1.0
 */
public final class ClaimStore {
    private static final String KEY_PREFIX = "claim/";
    private static final int MAX_READ_BACKS = 3;
    private static final Duration READ_BACK_DELAY = Duration.ofMillis(100);

    private final TableService tables;

    /**
     * Creates a store.
     *
     * @param tables the table service
     */
    public ClaimStore(TableService tables) {
        this.tables = tables;
    }

    /**
     * Claims a request and decides whether the request may run. If the request is claimed already, the decision follows
     * from the stored claim. If the table service does not respond, the claim is read back to find out whether the
     * write took effect.
     *
     * @param key the key of the request, unique in the fleet
     * @param claim the claim, with a token that no other claim has
     */
    public Mono<ClaimDecision> claim(String key, Claim claim) {
        TableTransaction insert = TableTransaction.builder()
                .check(KEY_PREFIX + key, 0)
                .put(KEY_PREFIX + key, json(claim))
                .build();
        return tables.transact(insert).flatMap(result -> {
            if (result instanceof TableResult.Committed) {
                return Mono.just(new ClaimDecision.Run());
            }
            if (result instanceof TableResult.Refused refused) {
                return Mono.just(new ClaimDecision.Unavailable(refused.detail()));
            }
            return readBack(key, claim, MAX_READ_BACKS);
        });
    }

    /**
     * Stores the response to a claimed request. A failure is not reported and does no harm: the claim remains, so the
     * request does not run again.
     *
     * @param key the key of the request
     * @param finished the claim with the response
     */
    public Mono<Void> finish(String key, Claim finished) {
        TableTransaction write =
                TableTransaction.builder().put(KEY_PREFIX + key, json(finished)).build();
        return tables.transact(write).then();
    }

    /**
     * Deletes the claim of a request that provably did not run, so that the request may be sent again.
     *
     * @param key the key of the request
     * @param claim the claim to delete; a claim with another token stays
     * @return whether the claim was deleted; false also if the outcome is unknown
     */
    public Mono<Boolean> withdraw(String key, Claim claim) {
        return read(key).flatMap(row -> {
            boolean ownClaim = row.content()
                    .map(value -> parse(value).token().equals(claim.token()))
                    .orElse(false);
            if (!ownClaim) {
                return Mono.just(false);
            }
            TableTransaction delete = TableTransaction.builder()
                    .check(KEY_PREFIX + key, row.version())
                    .delete(KEY_PREFIX + key)
                    .build();
            return tables.transact(delete).map(result -> result instanceof TableResult.Committed);
        });
    }

    private Mono<ClaimDecision> readBack(String key, Claim claim, int attemptsLeft) {
        return read(key)
                .map(row -> row.content()
                        .map(value -> parse(value).decide(claim.token(), claim.requestHash()))
                        .orElseGet(() -> new ClaimDecision.Unavailable("the claim was not answered and is not there")))
                .switchIfEmpty(Mono.defer(() -> attemptsLeft == 0
                        ? Mono.just(new ClaimDecision.Unavailable("the claim was not answered"))
                        : Mono.delay(READ_BACK_DELAY).flatMap(tick -> readBack(key, claim, attemptsLeft - 1))));
    }

    private Mono<TableRow> read(String key) {
        TableTransaction read =
                TableTransaction.builder().read(KEY_PREFIX + key).build();
        return tables.transact(read)
                .flatMap(result -> result instanceof TableResult.Committed committed
                        ? Mono.just(committed.rows().get(0))
                        : Mono.empty());
    }

    private static JsonNode json(Claim claim) {
        return RecordJson.mapper().valueToTree(claim);
    }

    private static Claim parse(JsonNode value) {
        try {
            return RecordJson.mapper().treeToValue(value, Claim.class);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a claim cannot be read: " + e.getOriginalMessage(), e);
        }
    }
}
