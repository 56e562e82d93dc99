package org.radishpass.routing.fleet;

/**
 * One start of an endpoint that may start again under its name. Two starts of one name share nothing: what is believed of the earlier
 * one ends with it. Which of two is the later is told by the store's readings and never by the value, since wall clocks jump.
 *
 * @param startedAtMillis when it started, in Unix milliseconds on its own wall clock; negative where the endpoint does not say
 * @since 0.4.0
 */
public record Incarnation(long startedAtMillis) {
    /** An endpoint that does not say when it started: its name changes with each start. */
    public static final Incarnation UNTOLD = new Incarnation(-1);

    /** Tells whether the endpoint said when it started. */
    public boolean told() {
        return startedAtMillis >= 0;
    }
}
