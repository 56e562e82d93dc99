package org.radishpass.router.internal.traffic;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.outcome.Refusal;
import org.radishpass.router.internal.endpoint.AttemptFailure;

/**
 * Keeps the placement decisions of the most recent requests, so that operators can look up why an endpoint was chosen.
 *
 * @since 0.1.0
 */
public final class DecisionLog {
    private static final int MAX_DECISIONS = 2_000;
    private static final int MAX_STEPS = 40;

    private final Map<String, Decision> recentDecisions = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Decision> eldest) {
            return size() > MAX_DECISIONS;
        }
    };

    /**
     * Starts recording the decisions for a request.
     *
     * @param request the request
     * @param pool the pool that serves the request
     * @param chat the affinity key, which prefers the same endpoints for requests with the same key
     */
    public Decision start(CallerRequest request, String pool, String chat) {
        Decision decision = new Decision(request, pool, chat);
        synchronized (recentDecisions) {
            recentDecisions.put(request.id(), decision);
        }
        return decision;
    }

    /**
     * Returns the decisions for a request, or empty if the request is unknown or its decisions were discarded.
     *
     * @param requestId the request's id
     */
    public Optional<Decision> find(String requestId) {
        synchronized (recentDecisions) {
            return Optional.ofNullable(recentDecisions.get(requestId));
        }
    }

    /**
     * The recorded decisions for one request.
     *
     * @since 0.1.0
     */
    public static final class Decision implements PlacementTrace {
        private final Map<String, Object> requestFields = new LinkedHashMap<>();
        private final List<Map<String, Object>> steps = new ArrayList<>();
        private @Nullable String outcome;

        private Decision(CallerRequest request, String pool, String chat) {
            requestFields.put("requestId", request.id());
            requestFields.put("workspace", request.workspace().name());
            requestFields.put("class", request.priority().wireName());
            requestFields.put("pool", pool);
            requestFields.put("chat", chat);
            requestFields.put("revision", request.snapshot().configuration().revision());
            requestFields.put("receivedAt", request.receivedAt().toString());
            requestFields.put("deadline", request.deadline().toString());
        }

        /** Returns the decisions recorded so far, as a map to be serialized to JSON. */
        public synchronized Map<String, Object> toJsonMap() {
            Map<String, Object> json = new LinkedHashMap<>(requestFields);
            json.put("steps", List.copyOf(steps));
            json.put("outcome", outcome == null ? "in progress" : outcome);
            return json;
        }

        @Override
        public synchronized void onSlotResult(String endpointId, SlotResult result) {
            add(Map.of(
                    "asked",
                    endpointId,
                    "answer",
                    result.answer().name(),
                    "running",
                    result.running(),
                    "limit",
                    result.limit()));
        }

        /**
         * Records that an attempt was sent.
         *
         * @param number the number of the attempt within the request, from 1
         * @param endpointId the id of the endpoint
         * @param at the time of the attempt
         */
        public synchronized void recordAttempt(int number, String endpointId, Instant at) {
            add(Map.of("attempt", number, "endpoint", endpointId, "at", at.toString()));
        }

        /**
         * Records that an attempt failed.
         *
         * @param endpointId the id of the endpoint
         * @param failure the failure
         */
        public synchronized void recordFailure(String endpointId, AttemptFailure failure) {
            add(Map.of(
                    "failedAt",
                    endpointId,
                    "verdict",
                    failure.verdict().name(),
                    "detail",
                    String.valueOf(failure.getMessage())));
        }

        /** Records that the request ended with a complete response. */
        public synchronized void recordSuccess() {
            outcome = "answered";
        }

        /**
         * Records that the request ended in a refusal.
         *
         * @param refusal the refusal
         */
        public synchronized void recordRefusal(Refusal refusal) {
            outcome = refusal.code() + " " + refusal.verdict() + ": " + refusal.detail();
        }

        private void add(Map<String, Object> step) {
            if (steps.size() < MAX_STEPS) {
                steps.add(step);
            }
        }
    }
}
