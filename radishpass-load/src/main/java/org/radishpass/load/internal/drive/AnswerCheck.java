package org.radishpass.load.internal.drive;

/**
 * Checks the tokens of one answer as they come.
 *
 * @since 0.1.0
 */
final class AnswerCheck {
    private static final String CONTENT = "\"content\":\"";
    private static final String DONE = "data: [DONE]";

    private final StringBuilder pending = new StringBuilder();
    private final String nonce;
    private final int wanted;
    private int next;
    private int doubled;
    private boolean crossed;
    private boolean done;
    private boolean failed;

    AnswerCheck(String nonce, int wanted) {
        this.nonce = nonce;
        this.wanted = wanted;
    }

    /** Takes part of a stream. */
    void stream(String part) {
        pending.append(part);
        int end = pending.indexOf("\n\n");
        while (end >= 0) {
            event(pending.substring(0, end));
            pending.delete(0, end + 2);
            end = pending.indexOf("\n\n");
        }
    }

    /** Takes a whole answer. */
    void whole(String body) {
        int start = body.indexOf(CONTENT);
        if (start >= 0) {
            int from = start + CONTENT.length();
            for (String token :
                    body.substring(from, body.indexOf('"', from)).trim().split(" ", -1)) {
                token(token);
            }
            done = true;
        }
    }

    boolean begun() {
        return next > 0;
    }

    boolean whole() {
        return done && next == wanted && !crossed && !failed;
    }

    boolean crossed() {
        return crossed;
    }

    int doubled() {
        return doubled;
    }

    private void event(String event) {
        if (event.startsWith("event: error")) {
            failed = true;
        } else if (event.contains(DONE)) {
            done = true;
        } else {
            int start = event.indexOf(CONTENT);
            if (start >= 0) {
                int from = start + CONTENT.length();
                token(event.substring(from, event.indexOf('"', from)).trim());
            }
        }
    }

    private void token(String token) {
        int dash = token.lastIndexOf('-');
        if (dash < 0 || !token.substring(0, dash).equals(nonce)) {
            crossed = true;
            return;
        }
        int number = Integer.parseInt(token.substring(dash + 1));
        if (number < next) {
            doubled++;
        } else if (number == next) {
            next++;
        } else {
            failed = true;
        }
    }
}
