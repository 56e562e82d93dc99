package org.radishpass.records;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A plain service, which is an HTTP service without a model, and the calls that it offers.
 *
 * @param name the name of the service
 * @param calls the calls that the service offers; a router forwards no other calls
 * @since 0.1.0
 */
public record ServiceSpec(String name, List<Call> calls) {
    /**
     * Creates the spec from a stored record.
     *
     * @param stored the stored record
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

    /** Returns the pool of the endpoints that serve this service. */
    public String pool() {
        return pool(name);
    }

    /**
     * Returns the pool of the endpoints that serve a service.
     *
     * @param service the name of the service
     */
    public static String pool(String service) {
        return "service/" + service;
    }

    /**
     * A call that a service offers.
     *
     * @param method the HTTP method
     * @param path the path; a trailing {@code *} matches any suffix
     * @param idempotent whether the call may be executed more than once
     * @since 0.1.0
     */
    public record Call(String method, String path, boolean idempotent) {
        /**
         * Tells whether the method and path of a request match this call.
         *
         * @param requestMethod the HTTP method of the request
         * @param requestPath the path of the request
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
