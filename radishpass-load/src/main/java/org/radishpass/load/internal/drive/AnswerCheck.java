package org.radishpass.load.internal.drive;

/**
 * Checks that the tokens of one answer are complete, in order and for the right request.
 *
 * @since 0.1.0
 */
final class AnswerCheck {
    private static final String CONTENT = "\"content\":\"";
    private static final String DONE = "data: [DONE]";

    private final StringBuilder pending = new StringBuilder();
    private final String nonce;
    private final int expectedTokens;
    private int nextTokenIndex;
    private int duplicateTokens;
    private boolean crossed;
    private boolean done;
    private boolean failed;

    AnswerCheck(String nonce, int expectedTokens) {
        this.nonce = nonce;
        this.expectedTokens = expectedTokens;
    }

    /** Accepts the next part of an event stream. */
    void acceptChunk(String part) {
        pending.append(part);
        int end = pending.indexOf("\n\n");
        while (end >= 0) {
            handleEvent(pending.substring(0, end));
            pending.delete(0, end + 2);
            end = pending.indexOf("\n\n");
        }
    }

    /** Accepts the body of an answer that is not streamed. */
    void acceptBody(String body) {
        int start = body.indexOf(CONTENT);
        if (start >= 0) {
            int contentStart = start + CONTENT.length();
            for (String token : body.substring(contentStart, body.indexOf('"', contentStart))
                    .trim()
                    .split(" ", -1)) {
                checkToken(token);
            }
            done = true;
        }
    }

    boolean started() {
        return nextTokenIndex > 0;
    }

    boolean complete() {
        return done && nextTokenIndex == expectedTokens && !crossed && !failed;
    }

    boolean crossed() {
        return crossed;
    }

    int duplicateTokens() {
        return duplicateTokens;
    }

    private void handleEvent(String event) {
        if (event.startsWith("event: error")) {
            failed = true;
        } else if (event.contains(DONE)) {
            done = true;
        } else {
            int start = event.indexOf(CONTENT);
            if (start >= 0) {
                int contentStart = start + CONTENT.length();
                checkToken(event.substring(contentStart, event.indexOf('"', contentStart))
                        .trim());
            }
        }
    }

    private void checkToken(String token) {
        int separator = token.lastIndexOf('-');
        if (separator < 0 || !token.substring(0, separator).equals(nonce)) {
            crossed = true;
            return;
        }
        int tokenIndex = Integer.parseInt(token.substring(separator + 1));
        if (tokenIndex < nextTokenIndex) {
            duplicateTokens++;
        } else if (tokenIndex == nextTokenIndex) {
            nextTokenIndex++;
        } else {
            failed = true;
        }
    }
}
