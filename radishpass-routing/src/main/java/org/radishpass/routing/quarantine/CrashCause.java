package org.radishpass.routing.quarantine;

/**
 * A feature of requests that may crash the endpoints that run them: what the quarantine suspects, refuses and clears.
 *
 * @since 0.11.0
 */
public sealed interface CrashCause permits RequestFingerprint, PromptPartFingerprint {
    /** Returns the digest of the name of the workspace whose requests have the feature. */
    long workspace();

    /** Returns the kind of feature. */
    CauseKind kind();

    /** Returns the numbers by which routers and the store name the feature. */
    CauseDigests digests();

    /** Tells whether this and another feature are the same part of a prompt, in different workspaces. */
    default boolean samePartInOtherWorkspace(CrashCause other) {
        return this instanceof PromptPartFingerprint one
                && other instanceof PromptPartFingerprint two
                && one.part() == two.part()
                && one.workspace() != two.workspace();
    }
}
