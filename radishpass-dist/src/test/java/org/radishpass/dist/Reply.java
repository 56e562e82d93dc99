package org.radishpass.dist;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import org.radishpass.runtime.http.HttpJson;

/**
 * The answer that a test caller received from a router.
 *
 * @param status the HTTP status, or 0 if no response arrived
 * @param body the part of the body that arrived
 * @param complete whether the response ended without an error or a timeout
 */
record Reply(int status, String body, boolean complete) {
    String code() {
        return error().path("code").asText();
    }

    String verdict() {
        return error().path("verdict").asText();
    }

    private JsonNode error() {
        return HttpJson.parse(body.getBytes(StandardCharsets.UTF_8)).path("error");
    }
}
