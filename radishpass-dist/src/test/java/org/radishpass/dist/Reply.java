package org.radishpass.dist;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import org.radishpass.runtime.http.HttpJson;

/**
 * What a caller received.
 *
 * @param status the HTTP status; 0 without an answer
 * @param body the body, as far as it came
 * @param whole whether it ended as it should
 */
record Reply(int status, String body, boolean whole) {
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
