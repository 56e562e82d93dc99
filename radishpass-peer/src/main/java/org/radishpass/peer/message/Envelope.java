package org.radishpass.peer.message;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * A message with the number that ties an answer to its request.
 *
 * @param id above 0 for a request, its negative for the answer, 0 for a message without an answer
 * @param message the message
 * @since 0.1.0
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Envelope(long id, PeerMessage message) {
    /** Tells whether this answers a request. */
    @JsonIgnore
    public boolean answer() {
        return id < 0;
    }

    /** Tells whether an answer is expected. */
    @JsonIgnore
    public boolean request() {
        return id > 0;
    }
}
