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
 * Claims non-idempotent requests in the table service, so that each runs at most once in the whole fleet.
 *
 * @since 0.1.0
 */
public final class ClaimStore {
    private static final String PREFIX = "claim/";
    private static final int READ_BACKS = 3;
    private static final Duration READ_BACK_PAUSE = Duration.ofMillis(100);

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
     * Claims a request, or tells what became of an earlier claim.
     *
     * @param key the request's key, unique in the fleet
     * @param claim the claim, with a token of its own
     */
    public Mono<ClaimDecision> claim(String key, Claim claim) {
        TableTransaction insert = TableTransaction.builder()
                .check(PREFIX + key, 0)
                .put(PREFIX + key, json(claim))
                .build();
        return tables.transact(insert).flatMap(result -> {
            if (result instanceof TableResult.Committed) {
                return Mono.just(new ClaimDecision.Run());
            }
            if (result instanceof TableResult.Refused refused) {
                return Mono.just(new ClaimDecision.Unavailable(refused.detail()));
            }
            return readBack(key, claim, READ_BACKS);
        });
    }

    /**
     * Stores the answer of a claimed request. A failure is harmless: the claim stays and the request is not run again.
     *
     * @param key the request's key
     * @param done the claim with the answer
     */
    public Mono<Void> finish(String key, Claim done) {
        TableTransaction write =
                TableTransaction.builder().put(PREFIX + key, json(done)).build();
        return tables.transact(write).then();
    }

    /**
     * Takes back a claim whose request provably did not run, so that it may be asked for again.
     *
     * @param key the request's key
     * @param claim the claim
     * @return whether the claim is gone
     */
    public Mono<Boolean> withdraw(String key, Claim claim) {
        return read(key).flatMap(row -> {
            boolean ours = row.content()
                    .map(value -> parse(value).token().equals(claim.token()))
                    .orElse(false);
            if (!ours) {
                return Mono.just(false);
            }
            TableTransaction delete = TableTransaction.builder()
                    .check(PREFIX + key, row.version())
                    .delete(PREFIX + key)
                    .build();
            return tables.transact(delete).map(result -> result instanceof TableResult.Committed);
        });
    }

    private Mono<ClaimDecision> readBack(String key, Claim claim, int triesLeft) {
        return read(key)
                .map(row -> row.content()
                        .map(value -> parse(value).decide(claim.token(), claim.requestHash()))
                        .orElseGet(() -> new ClaimDecision.Unavailable("the claim was not answered and is not there")))
                .switchIfEmpty(Mono.defer(() -> triesLeft == 0
                        ? Mono.just(new ClaimDecision.Unavailable("the claim was not answered"))
                        : Mono.delay(READ_BACK_PAUSE).flatMap(tick -> readBack(key, claim, triesLeft - 1))));
    }

    private Mono<TableRow> read(String key) {
        TableTransaction read = TableTransaction.builder().read(PREFIX + key).build();
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
