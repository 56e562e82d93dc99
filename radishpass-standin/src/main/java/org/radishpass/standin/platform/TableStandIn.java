package org.radishpass.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * Stand-in for the platform's table service: a transactional table in memory with rate limits. Outages and lost
 * responses can be injected.
 *
 * @since 0.1.0
 */
public final class TableStandIn {
    private static final double MAX_WRITE_TRANSACTIONS_PER_SECOND = 400;
    private static final double MAX_READ_TRANSACTIONS_PER_SECOND = 2_000;

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final TokenBucket writeLimit;
    private final TokenBucket readLimit;
    private final Random random;
    private long lastVersion;
    private long transactions;
    private long writeTransactions;
    private TableFaults faults = TableFaults.NONE;

    /**
     * Creates an empty table.
     *
     * @param seed the seed of the random generator
     */
    public TableStandIn(long seed) {
        this.random = new Random(seed);
        this.writeLimit = new TokenBucket(MAX_WRITE_TRANSACTIONS_PER_SECOND, System.nanoTime());
        this.readLimit = new TokenBucket(MAX_READ_TRANSACTIONS_PER_SECOND, System.nanoTime());
    }

    /**
     * Replaces the injected faults.
     *
     * @param newFaults the faults to inject from now on
     */
    public synchronized void faults(TableFaults newFaults) {
        this.faults = newFaults;
    }

    /** Returns the faults that are injected now. */
    public synchronized TableFaults faults() {
        return faults;
    }

    /** Returns the number of transactions within the rate limits, and how many of them contained writes. */
    public synchronized Map<String, Long> counts() {
        return Map.of("transactions", transactions, "writing", writeTransactions);
    }

    /**
     * Executes a transaction: compares the versions of its checks, applies its writes and then reads.
     *
     * @param transaction the transaction, with the keys checks, writes, reads and scans
     */
    public synchronized TableResponse transact(JsonNode transaction) {
        if (faults.outage()) {
            return TableResponse.unavailable("the table service is out");
        }
        boolean hasWrites = !transaction.path("writes").isEmpty();
        TokenBucket limit = hasWrites ? writeLimit : readLimit;
        if (!limit.tryTake(1, System.nanoTime())) {
            return TableResponse.rateLimited();
        }
        transactions++;
        writeTransactions += hasWrites ? 1 : 0;
        for (JsonNode check : transaction.path("checks")) {
            String key = check.path("key").asText();
            if (currentVersion(key) != check.path("version").asLong()) {
                return TableResponse.conflict(key);
            }
        }
        applyWrites(transaction.path("writes"));
        ObjectNode body = readRows(transaction);
        boolean lost = hasWrites && random.nextDouble() < faults.lostResponseProbability();
        return TableResponse.committed(body, lost);
    }

    private void applyWrites(JsonNode requestedWrites) {
        if (requestedWrites.isEmpty()) {
            return;
        }
        lastVersion++;
        for (JsonNode write : requestedWrites) {
            String key = write.path("key").asText();
            JsonNode value = write.path("value");
            if (value.isMissingNode() || value.isNull()) {
                rows.remove(key);
            } else {
                rows.put(key, new Row(lastVersion, value.deepCopy()));
            }
        }
    }

    private ObjectNode readRows(JsonNode transaction) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        ArrayNode found = body.putArray("rows");
        for (JsonNode key : transaction.path("reads")) {
            found.add(rowJson(key.asText(), rows.get(key.asText())));
        }
        ArrayNode scans = body.putArray("scans");
        for (JsonNode scan : transaction.path("scans")) {
            scans.add(scan(
                    scan.path("prefix").asText(),
                    scan.path("after").asText(),
                    scan.path("limit").asInt()));
        }
        return body;
    }

    private ArrayNode scan(String prefix, String after, int limit) {
        ArrayNode found = JsonNodeFactory.instance.arrayNode();
        String start = after.isEmpty() ? prefix : after;
        for (Map.Entry<String, Row> entry : rows.tailMap(start, after.isEmpty()).entrySet()) {
            if (found.size() >= limit || !entry.getKey().startsWith(prefix)) {
                break;
            }
            found.add(rowJson(entry.getKey(), entry.getValue()));
        }
        return found;
    }

    private static ObjectNode rowJson(String key, @org.jspecify.annotations.Nullable Row row) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("key", key);
        json.put("version", row == null ? 0 : row.version());
        if (row != null) {
            json.set("value", row.value());
        }
        return json;
    }

    private long currentVersion(String key) {
        Row row = rows.get(key);
        return row == null ? 0 : row.version();
    }

    private record Row(long version, JsonNode value) {}
}
