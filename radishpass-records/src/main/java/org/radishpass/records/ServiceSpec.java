package org.radishpass.records;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A plain service and its calls.
 *
 * @param name the service
 * @param calls the calls that it offers; others are not passed on
 * @since 0.1.0
 */
public record ServiceSpec(String name, List<Call> calls) {
    /**
     * Reads a stored spec.
     *
     * @param stored the record
     */
    static ServiceSpec of(StoredRecord stored) {
        List<Call> calls = new ArrayList<>();
        for (JsonNode call : stored.spec().path("calls")) {
            calls.add(new Call(
                    call.path("method").asText(),
                    call.path("path").asText(),
                    call.path("idempotent").asBoolean(false)));
        }
        return new ServiceSpec(stored.name(), List.copyOf(calls));
    }

    /** Returns the pool of the endpoints that run the service. */
    public String pool() {
        return pool(name);
    }

    /**
     * Returns the pool of a service.
     *
     * @param service its name
     */
    public static String pool(String service) {
        return "service/" + service;
    }

    /**
     * One call of a service.
     *
     * @param method the HTTP method
     * @param path the path; a star at its end stands for anything
     * @param idempotent whether running it twice does no harm
     * @since 0.1.0
     */
    public record Call(String method, String path, boolean idempotent) {
        /**
         * Tells whether a request is this call.
         *
         * @param requestMethod the request's method
         * @param requestPath the request's path
         */
        public boolean matches(String requestMethod, String requestPath) {
            if (!method.equalsIgnoreCase(requestMethod)) {
                return false;
            }
            if (path.endsWith("*")) {
                return requestPath.startsWith(path.substring(0, path.length() - 1));
            }
            return path.equals(requestPath);
        }
    }
}
