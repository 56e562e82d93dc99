package org.radishpass.cli.internal;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The commands of the operator's tool, each with the options and operands that it requires.
 *
 * @since 0.1.0
 */
public enum CommandName {
    /** Creates or updates records from files. */
    APPLY(true, true, false, ""),
    /** Shows stored records. */
    GET(true, false, false, ""),
    /** Deletes a record. */
    DELETE(true, false, false, "KIND NAME"),
    /** Shows the changes that {@link #APPLY} would make. */
    DIFF(true, true, false, ""),
    /** Validates record files without access to a fleet. */
    VALIDATE(false, true, false, ""),
    /** Shows the most recent changes of records with their authors. */
    HISTORY(true, false, false, ""),
    /** Shows the status of routers and controllers. */
    STATUS(false, false, true, ""),
    /** Shows which endpoints a request was sent to, and why. */
    EXPLAIN(false, false, true, "REQUEST_ID"),
    /** Counts the requests in router logs that were not answered in time, by cause. */
    LOSSES(false, false, false, "");

    private final boolean needsPlatform;
    private final boolean needsFiles;
    private final boolean needsServers;
    private final String operandsUsage;

    CommandName(boolean needsPlatform, boolean needsFiles, boolean needsServers, String operandsUsage) {
        this.needsPlatform = needsPlatform;
        this.needsFiles = needsFiles;
        this.needsServers = needsServers;
        this.operandsUsage = operandsUsage;
    }

    /** Returns the name as the operator types it. */
    public String typedName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Tells whether the address of the platform is required. */
    public boolean needsPlatform() {
        return needsPlatform;
    }

    /** Tells whether record files are required. */
    public boolean needsFiles() {
        return needsFiles;
    }

    /** Tells whether the address of a router or controller is required, unless router logs are given. */
    public boolean needsServers() {
        return needsServers;
    }

    /** Returns the required operands for usage messages, separated by spaces; empty if there are none. */
    public String operandsUsage() {
        return operandsUsage;
    }

    /** Returns the number of required operands. */
    public int minOperands() {
        return operandsUsage.isEmpty() ? 0 : operandsUsage.split(" ", -1).length;
    }

    /** Returns the names of all commands as the operator types them. */
    public static List<String> typedNames() {
        return Arrays.stream(values()).map(CommandName::typedName).toList();
    }

    /**
     * Returns the command with a name, or nothing if there is none.
     *
     * @param typed the name as the operator typed it
     */
    public static Optional<CommandName> byTypedName(@Nullable String typed) {
        return Arrays.stream(values())
                .filter(name -> name.typedName().equals(typed))
                .findFirst();
    }
}
