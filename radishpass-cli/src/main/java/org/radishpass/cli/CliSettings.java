package org.radishpass.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.radishpass.cli.internal.CommandName;
import org.radishpass.records.schema.SchemaVersion;
import org.radishpass.runtime.settings.CommonSettings;
import org.radishpass.runtime.settings.SettingChecks;

/**
 * The command-line settings of the operator's tool.
 *
 * @since 0.1.0
 */
public final class CliSettings extends CommonSettings {
    private static final String NO_REVISION = "";

    @Argument(
            index = 0,
            metaVar = "COMMAND",
            usage = "apply, get, delete, diff, validate, history, status, explain or losses")
    private @Nullable String command;

    @Argument(index = 1, metaVar = "WORD", multiValued = true, usage = "what the command is about")
    private List<String> operands = new ArrayList<>();

    @Option(name = "--file", aliases = "-f", metaVar = "FILE", usage = "file or directory of records; may be repeated")
    private List<Path> files = new ArrayList<>();

    @Option(name = "--platform", metaVar = "URL", usage = "platform's address, http://IP:PORT")
    private @Nullable String platform;

    @Option(name = "--server", metaVar = "URL", usage = "router or controller to ask, http://IP:PORT; may be repeated")
    private List<String> servers = new ArrayList<>();

    @Option(name = "--logs", metaVar = "FILE", usage = "log of a router, for explain and losses; may be repeated")
    private List<Path> logs = new ArrayList<>();

    @Option(
            name = "--revision",
            metaVar = "N",
            usage = "revision that you saw; the write is refused if there is a newer")
    private String revision = NO_REVISION;

    @Option(name = "--author", metaVar = "NAME", usage = "who writes, for the history")
    private String author = "operator";

    @Option(name = "--api-version", metaVar = "V", usage = "schema version to show records under")
    private String apiVersion = SchemaVersion.V2.wireName();

    @Option(name = "--json", usage = "print JSON for programs")
    private boolean json;

    @Override
    public List<String> faults() {
        List<String> errors = new ArrayList<>();
        if (help() || version()) {
            return errors;
        }
        CommandName name = CommandName.byTypedName(command).orElse(null);
        if (name == null) {
            errors.add("COMMAND is " + command + "; write one of " + CommandName.typedNames());
            return errors;
        }
        if (name.needsPlatform()) {
            SettingChecks.httpAddress("--platform", platform, errors);
        }
        if (name.needsFiles() && files.isEmpty()) {
            errors.add("--file is missing; write the file or directory of records");
        }
        if (name == CommandName.LOSSES && logs.isEmpty()) {
            errors.add("--logs is missing; write the log of a router");
        }
        checkFiles(errors);
        checkServers(name, errors);
        if (operands.size() < name.minOperands()) {
            errors.add(name.typedName() + " needs " + name.operandsUsage());
        }
        if (SchemaVersion.byWireName(apiVersion).isEmpty()) {
            errors.add("--api-version is '" + apiVersion + "'; write radishpass/v1 or radishpass/v2");
        }
        checkRevision(errors);
        return errors;
    }

    private void checkFiles(List<String> errors) {
        files.stream()
                .filter(file -> !Files.exists(file))
                .forEach(file -> errors.add("--file " + file + " does not exist"));
        logs.stream()
                .filter(file -> !Files.isReadable(file))
                .forEach(file -> errors.add("--logs " + file + " cannot be read"));
    }

    private void checkServers(CommandName name, List<String> errors) {
        if (name.needsServers() && servers.isEmpty() && logs.isEmpty()) {
            errors.add("--server is missing (or RADISHPASS_SERVER)");
        }
        servers.forEach(server -> SettingChecks.httpAddress("--server", server, errors));
    }

    private void checkRevision(List<String> errors) {
        if (!revision.equals(NO_REVISION) && !revision.matches("\\d{1,18}")) {
            errors.add("--revision is '" + revision + "'; write a whole number");
        }
    }

    /** Returns the command to run. */
    public CommandName command() {
        return CommandName.byTypedName(command).orElseThrow();
    }

    /** Returns the operands that follow the command. */
    public List<String> operands() {
        return operands;
    }

    /** Returns the record files, and the directories that contain them. */
    public List<Path> files() {
        return files;
    }

    /** Returns the router logs that {@code explain} and {@code losses} read. */
    public List<Path> logs() {
        return logs;
    }

    /** Returns the address of the platform, or {@code "null"} if none is given. */
    public String platform() {
        return String.valueOf(platform);
    }

    /** Returns the addresses of the routers and controllers to query. */
    public List<String> servers() {
        return servers;
    }

    /** Returns the revision that the change is based on, if given. */
    public OptionalLong revision() {
        return revision.equals(NO_REVISION) ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(revision));
    }

    /** Returns the name of the author that the history records. */
    public String author() {
        return author;
    }

    /** Returns the schema version in which records are shown. */
    public SchemaVersion apiVersion() {
        return SchemaVersion.byWireName(apiVersion).orElseThrow();
    }

    /** Tells whether to print JSON instead of text. */
    public boolean json() {
        return json;
    }
}
