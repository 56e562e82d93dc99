package org.radishpass.routing.traffic;

/**
 * The permission to send a request once, to an endpoint or to another router. {@link RetryGuard} issues one for the first
 * send and one for each retry that the retry budget allows.
 */
final class SendPermit {
    private boolean used;

    SendPermit() {}

    /**
     * Uses the permission.
     *
     * @throws IllegalStateException if it has been used before
     */
    void use() {
        if (used) {
            throw new IllegalStateException("a request was sent twice with one permission");
        }
        used = true;
    }
}
