package org.radishpass.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * A transactional table in memory, with the faults of the platform's: outage, slowness, limits, lost answers.
 *
 * @since 0.1.0
 */
public final class TableStandIn {
    private static final double WRITES_PER_SECOND = 400;
    private static final double READS_PER_SECOND = 2_000;

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final RateLimit writes;
    private final RateLimit reads;
    private final Random random;
    private long lastVersion;
    private long transactions;
    private long writing;
    private TableFaults faults = TableFaults.NONE;

    /**
     * Creates an empty table.
     *
     * @param seed the seed of its chance
     */
    public TableStandIn(long seed) {
        this.random = new Random(seed);
        this.writes = new RateLimit(WRITES_PER_SECOND, System.nanoTime());
        this.reads = new RateLimit(READS_PER_SECOND, System.nanoTime());
    }

    /**
     * Switches faults.
     *
     * @param newFaults the faults from now on
     */
    public synchronized void faults(TableFaults newFaults) {
        this.faults = newFaults;
    }

    /** Returns the faults in force. */
    public synchronized TableFaults faults() {
        return faults;
    }

    /** Returns how many transactions there were and how many of them wrote. */
    public synchronized Map<String, Long> counts() {
        return Map.of("transactions", transactions, "writing", writing);
    }

    /**
     * Carries out a transaction.
     *
     * @param transaction the transaction as JSON
     */
    public synchronized TableAnswer transact(JsonNode transaction) {
        if (faults.outage()) {
            return TableAnswer.refused("the table service is out");
        }
        boolean writer = !transaction.path("writes").isEmpty();
        RateLimit limit = writer ? writes : reads;
        if (!limit.tryTake(1, System.nanoTime())) {
            return TableAnswer.limited();
        }
        transactions++;
        writing += writer ? 1 : 0;
        for (JsonNode check : transaction.path("checks")) {
            String key = check.path("key").asText();
            if (version(key) != check.path("version").asLong()) {
                return TableAnswer.conflict(key);
            }
        }
        write(transaction.path("writes"));
        ObjectNode body = read(transaction);
        boolean lost = writer && random.nextDouble() < faults.lostAnswers();
        return TableAnswer.committed(body, lost);
    }

    private void write(JsonNode writesWanted) {
        if (writesWanted.isEmpty()) {
            return;
        }
        lastVersion++;
        for (JsonNode write : writesWanted) {
            String key = write.path("key").asText();
            JsonNode value = write.path("value");
            if (value.isMissingNode() || value.isNull()) {
                rows.remove(key);
            } else {
                rows.put(key, new Row(lastVersion, value.deepCopy()));
            }
        }
    }

    private ObjectNode read(JsonNode transaction) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        ArrayNode found = body.putArray("rows");
        for (JsonNode key : transaction.path("reads")) {
            found.add(row(key.asText(), rows.get(key.asText())));
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
            found.add(row(entry.getKey(), entry.getValue()));
        }
        return found;
    }

    private static ObjectNode row(String key, @org.jspecify.annotations.Nullable Row row) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("key", key);
        json.put("version", row == null ? 0 : row.version());
        if (row != null) {
            json.set("value", row.value());
        }
        return json;
    }

    private long version(String key) {
        Row row = rows.get(key);
        return row == null ? 0 : row.version();
    }

    private record Row(long version, JsonNode value) {}
}
