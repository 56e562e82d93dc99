package org.radishpass.routing.quarantine;

/**
 * The kinds of features of requests that may crash endpoints.
 *
 * @since 0.11.0
 */
public enum CauseKind {
    /** A whole request, which its caller sends again and again. */
    REQUEST("request"),
    /** A part of a prompt, which different requests share. */
    PROMPT_PART("prompt part");

    private final String text;

    CauseKind(String text) {
        this.text = text;
    }

    /** Returns the name for logs. */
    public String text() {
        return text;
    }
}
