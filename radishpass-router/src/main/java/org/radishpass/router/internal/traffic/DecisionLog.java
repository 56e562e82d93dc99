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
 * Remembers the newest decisions, so that an operator can ask why a request went where it went.
 *
 * @since 0.1.0
 */
public final class DecisionLog {
    private static final int KEPT = 2_000;
    private static final int MOST_STEPS = 40;

    private final Map<String, Decision> newest = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Decision> eldest) {
            return size() > KEPT;
        }
    };

    /**
     * Starts the account of a request.
     *
     * @param request the request
     * @param pool the pool that serves it
     * @param chat what it was to stay close to
     */
    public Decision start(CallerRequest request, String pool, String chat) {
        Decision decision = new Decision(request, pool, chat);
        synchronized (newest) {
            newest.put(request.id(), decision);
        }
        return decision;
    }

    /**
     * Finds the account of a request.
     *
     * @param requestId the request
     */
    public Optional<Decision> find(String requestId) {
        synchronized (newest) {
            return Optional.ofNullable(newest.get(requestId));
        }
    }

    /**
     * The account of one request.
     *
     * @since 0.1.0
     */
    public static final class Decision implements PlacementTrace {
        private final Map<String, Object> heading = new LinkedHashMap<>();
        private final List<Map<String, Object>> steps = new ArrayList<>();
        private @Nullable String outcome;

        private Decision(CallerRequest request, String pool, String chat) {
            heading.put("requestId", request.id());
            heading.put("workspace", request.workspace().name());
            heading.put("class", request.priority().wireName());
            heading.put("pool", pool);
            heading.put("chat", chat);
            heading.put("revision", request.snapshot().configuration().revision());
            heading.put("receivedAt", request.receivedAt().toString());
            heading.put("deadline", request.deadline().toString());
        }

        /** Returns the account as it is now, for JSON. */
        public synchronized Map<String, Object> view() {
            Map<String, Object> view = new LinkedHashMap<>(heading);
            view.put("steps", List.copyOf(steps));
            view.put("outcome", outcome == null ? "in progress" : outcome);
            return view;
        }

        @Override
        public synchronized void asked(String endpointId, SlotOffer offer) {
            add(Map.of(
                    "asked",
                    endpointId,
                    "answer",
                    offer.answer().name(),
                    "running",
                    offer.running(),
                    "limit",
                    offer.limit()));
        }

        /**
         * Notes an attempt.
         *
         * @param number counts the attempts
         * @param endpointId where it went
         * @param at when
         */
        public synchronized void attempted(int number, String endpointId, Instant at) {
            add(Map.of("attempt", number, "endpoint", endpointId, "at", at.toString()));
        }

        /**
         * Notes a failed attempt.
         *
         * @param endpointId where it failed
         * @param failure how
         */
        public synchronized void failed(String endpointId, AttemptFailure failure) {
            add(Map.of(
                    "failedAt",
                    endpointId,
                    "verdict",
                    failure.verdict().name(),
                    "detail",
                    String.valueOf(failure.getMessage())));
        }

        /** Notes a whole answer. */
        public synchronized void answered() {
            outcome = "answered";
        }

        /**
         * Notes a refusal.
         *
         * @param refusal the refusal
         */
        public synchronized void refused(Refusal refusal) {
            outcome = refusal.code() + " " + refusal.verdict() + ": " + refusal.detail();
        }

        private void add(Map<String, Object> step) {
            if (steps.size() < MOST_STEPS) {
                steps.add(step);
            }
        }
    }
}
