package org.radishpass.load.internal.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

/**
 * Something that happens during an experiment.
 *
 * @param at seconds since load began
 * @param put the path of a fault to switch, at the stand-ins
 * @param body what is sent there
 * @param signal KILL, TERM, STOP or CONT, for a process
 * @param process the process
 * @since 0.1.0
 */
public record TimedEvent(
        double at,
        @Nullable String put,
        @Nullable JsonNode body,
        @Nullable String signal,
        @Nullable String process) {}
