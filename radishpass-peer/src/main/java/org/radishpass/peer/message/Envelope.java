package org.radishpass.peer.message;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * A message with the id that correlates a response with its request.
 *
 * @param id the id: positive for a request, the negated id of the request for a response, 0 for a message without a
 *     response
 * @param message the message
 * @since 0.1.0
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Envelope(long id, PeerMessage message) {
    /** Tells whether the message is the response to a request. */
    @JsonIgnore
    public boolean response() {
        return id < 0;
    }

    /** Tells whether the message is a request, whose sender expects a response. */
    @JsonIgnore
    public boolean request() {
        return id > 0;
    }
}
