package org.radishpass.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.radishpass.cli.CliSettings;
import org.radishpass.records.Configuration;
import org.radishpass.records.ConfigurationChange;
import org.radishpass.records.RecordDocument;
import org.radishpass.records.RecordFiles;
import org.radishpass.records.RecordKey;
import org.radishpass.records.StoredRecord;
import org.radishpass.records.schema.RecordKind;
import org.radishpass.records.schema.SchemaConversion;
import org.radishpass.runtime.http.HttpJson;
import org.radishpass.runtime.http.HttpRuntime;
import org.radishpass.runtime.settings.ExitCode;
import org.radishpass.tables.configuration.ConfigurationStore;
import org.radishpass.tables.configuration.ConfigurationWriter;
import org.radishpass.tables.configuration.StoreUnavailableException;
import org.radishpass.tables.configuration.WriteResult;
import org.radishpass.tables.table.HttpTableService;

/**
 * Runs the command of one invocation of the operator's tool.
 *
 * @since 0.1.0
 */
public final class Commands {
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(3);
    private static final int MAX_SHOWN_CHANGES = 50;

    private final CliSettings settings;
    private final HttpRuntime runtime;
    private final Reporter reporter;
    private final HttpTableService tables;

    /**
     * Creates a runner for the command in the settings.
     *
     * @param settings the validated settings
     * @param runtime the event loops and HTTP clients
     * @param reporter prints results and errors
     */
    public Commands(CliSettings settings, HttpRuntime runtime, Reporter reporter) {
        this.settings = settings;
        this.runtime = runtime;
        this.reporter = reporter;
        this.tables = new HttpTableService(runtime.client(), settings.platform(), REQUEST_TIMEOUT);
    }

    /**
     * Runs the command and returns the exit code.
     *
     * @throws IOException if a file cannot be read
     */
    public ExitCode run() throws IOException {
        try {
            return switch (settings.command()) {
                case APPLY -> apply();
                case GET -> get();
                case DELETE -> delete();
                case DIFF -> diff();
                case VALIDATE -> validate();
                case HISTORY -> history();
                case STATUS -> status();
                case EXPLAIN -> explain();
                case LOSSES -> losses();
            };
        } catch (StoreUnavailableException e) {
            reporter.error("the platform's store is unavailable: " + e.getMessage());
            return ExitCode.UNAVAILABLE;
        }
    }

    private ExitCode apply() throws IOException {
        RecordFiles.ReadResult read = RecordFileLoader.read(settings.files());
        if (!read.faults().isEmpty()) {
            read.faults().forEach(reporter::error);
            return ExitCode.USAGE;
        }
        WriteResult result = writer().apply(read.documents(), settings.author(), settings.revision())
                .blockOptional(STORE_TIMEOUT)
                .orElseThrow();
        return report(result);
    }

    private ExitCode delete() {
        Optional<RecordKind> kind = RecordKind.byWireName(settings.operands().get(0));
        if (kind.isEmpty()) {
            reporter.error("unknown kind " + settings.operands().get(0));
            return ExitCode.USAGE;
        }
        RecordKey key = new RecordKey(kind.get().wireName(), settings.operands().get(1));
        WriteResult result = writer().delete(List.of(key), settings.author(), settings.revision())
                .blockOptional(STORE_TIMEOUT)
                .orElseThrow();
        return report(result);
    }

    private ExitCode report(WriteResult result) {
        if (result instanceof WriteResult.Accepted accepted) {
            accepted.changes().forEach(change -> reporter.line(describe(change)));
            reporter.line(
                    "revision " + accepted.revision() + (accepted.changes().isEmpty() ? ", nothing to change" : ""));
            return ExitCode.OK;
        }
        if (result instanceof WriteResult.Conflict conflict) {
            reporter.error("the current revision is " + conflict.actual() + ", not " + conflict.expected()
                    + "; review it with 'get' and 'history', then retry");
            return ExitCode.CONFLICT;
        }
        if (result instanceof WriteResult.Refused refused) {
            reporter.error("nothing was written: " + refused.detail());
            return ExitCode.UNAVAILABLE;
        }
        reporter.error("the write may have been accepted: " + result + "; check with 'history'");
        return ExitCode.FAILED;
    }

    private ExitCode get() {
        Configuration configuration = configuration();
        String kindFilter =
                settings.operands().isEmpty() ? "" : settings.operands().get(0);
        String nameFilter =
                settings.operands().size() < 2 ? "" : settings.operands().get(1);
        List<StoredRecord> found = configuration.records().stream()
                .filter(stored -> !stored.deleted())
                .filter(stored -> kindFilter.isEmpty() || stored.kind().equalsIgnoreCase(kindFilter))
                .filter(stored -> nameFilter.isEmpty() || stored.name().equals(nameFilter))
                .toList();
        if (!nameFilter.isEmpty() && found.isEmpty()) {
            reporter.error("there is no " + kindFilter + ' ' + nameFilter);
            return ExitCode.FAILED;
        }
        found.forEach(stored -> reporter.document(view(stored), settings.json()));
        return ExitCode.OK;
    }

    private ObjectNode view(StoredRecord stored) {
        ObjectNode document = JsonNodeFactory.instance.objectNode();
        document.put("apiVersion", settings.apiVersion().wireName());
        document.put("kind", stored.kind());
        document.put("name", stored.name());
        ObjectNode spec = RecordKind.byWireName(stored.kind())
                .map(kind -> SchemaConversion.view(kind, settings.apiVersion(), stored.spec()))
                .orElse(stored.spec());
        document.set("spec", spec);
        return document;
    }

    private ExitCode diff() throws IOException {
        RecordFiles.ReadResult read = RecordFileLoader.read(settings.files());
        if (!read.faults().isEmpty()) {
            read.faults().forEach(reporter::error);
            return ExitCode.USAGE;
        }
        Configuration configuration = configuration();
        for (RecordDocument document : read.documents()) {
            ObjectNode before = configuration.records().stream()
                    .filter(stored -> stored.key().equals(document.key()) && !stored.deleted())
                    .map(StoredRecord::spec)
                    .findFirst()
                    .orElseGet(JsonNodeFactory.instance::objectNode);
            ObjectNode after = SchemaConversion.rewrite(document.kind(), document.version(), document.spec(), before);
            if (!after.equals(before)) {
                reporter.line(document.key() + ":");
                reporter.line("- " + before);
                reporter.line("+ " + after);
            }
        }
        reporter.line("against revision " + configuration.revision());
        return ExitCode.OK;
    }

    private ExitCode validate() throws IOException {
        RecordFiles.ReadResult read = RecordFileLoader.read(settings.files());
        read.faults().forEach(reporter::error);
        if (!read.faults().isEmpty()) {
            return ExitCode.USAGE;
        }
        reporter.line(read.documents().size() + " records are good");
        return ExitCode.OK;
    }

    private ExitCode history() {
        ConfigurationStore store = new ConfigurationStore(tables);
        long head = store.headRevision().blockOptional(STORE_TIMEOUT).orElse(0L);
        List<ConfigurationChange> changes = store.newestChanges(head, MAX_SHOWN_CHANGES)
                .blockOptional(STORE_TIMEOUT)
                .orElse(List.of());
        changes.forEach(change -> reporter.line(describe(change)));
        return ExitCode.OK;
    }

    private ExitCode status() {
        ExitCode code = ExitCode.OK;
        for (String server : settings.servers()) {
            Optional<JsonNode> status = fetch(server + "/v1/status");
            if (status.isPresent()) {
                reporter.document(status.get(), settings.json());
            } else {
                reporter.error(server + " does not answer");
                code = ExitCode.UNAVAILABLE;
            }
        }
        return code;
    }

    private ExitCode explain() throws IOException {
        if (!settings.logs().isEmpty()) {
            return explainFromLogs();
        }
        for (String server : settings.servers()) {
            Optional<JsonNode> explanation =
                    fetch(server + "/v1/explain/" + settings.operands().get(0));
            if (explanation.isPresent() && explanation.get().has("steps")) {
                reporter.document(explanation.get(), settings.json());
                return ExitCode.OK;
            }
        }
        reporter.error(
                "no router asked remembers request " + settings.operands().get(0));
        return ExitCode.FAILED;
    }

    private ExitCode losses() throws IOException {
        Losses losses = Losses.read(settings.logs());
        if (losses.unreadableLines() > 0) {
            reporter.error(losses.unreadableLines() + " lines of the logs cannot be read and are left out");
        }
        if (settings.json()) {
            reporter.document(losses.json(), true);
        } else {
            losses.table().forEach(reporter::line);
        }
        return ExitCode.OK;
    }

    private ExitCode explainFromLogs() throws IOException {
        RequestHistory history = RequestHistory.read(settings.operands().get(0), settings.logs());
        if (history.unreadableLines() > 0) {
            reporter.error(history.unreadableLines() + " lines of the logs are no JSON and were left out");
        }
        if (history.empty()) {
            reporter.error(
                    "no line of the logs names request " + settings.operands().get(0));
            return ExitCode.FAILED;
        }
        if (settings.json()) {
            reporter.document(history.json(), true);
        } else {
            history.table().forEach(reporter::line);
        }
        return ExitCode.OK;
    }

    private Optional<JsonNode> fetch(String address) {
        return runtime.client()
                .get()
                .uri(address)
                .responseSingle((response, content) -> content.asByteArray())
                .map(HttpJson::parse)
                .onErrorComplete()
                .blockOptional(REQUEST_TIMEOUT);
    }

    private Configuration configuration() {
        return new ConfigurationStore(tables)
                .snapshot()
                .blockOptional(STORE_TIMEOUT)
                .orElseThrow();
    }

    private ConfigurationWriter writer() {
        return new ConfigurationWriter(
                tables, Clock.systemUTC(), () -> UUID.randomUUID().toString());
    }

    private static String describe(ConfigurationChange change) {
        String action = change.recordAfter().deleted() ? "deleted " : "wrote ";
        return change.revision() + " " + change.at() + " " + change.author() + " " + action
                + change.recordAfter().key();
    }
}
