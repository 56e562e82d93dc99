package org.radishpass.load.internal.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

/**
 * A fault injection, a signal to a process, or both, at a fixed time of an experiment.
 *
 * @param at the time of the event, in seconds since load began
 * @param put the path on the stand-ins' fault server to which the fault is sent; null without a fault
 * @param body the JSON to send to that path; an empty object if null
 * @param signal KILL, TERM, STOP or CONT; null without a signal
 * @param process the name of the process that receives the signal
 * @since 0.1.0
 */
public record TimedEvent(
        double at,
        @Nullable String put,
        @Nullable JsonNode body,
        @Nullable String signal,
        @Nullable String process) {}
