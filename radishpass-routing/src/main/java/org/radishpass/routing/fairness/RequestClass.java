package org.radishpass.routing.fairness;

import org.jspecify.annotations.Nullable;

/**
 * The requests of a service that share one allocation.
 *
 * @param workspace the workspace; empty for requests without a workspace, and for workspaces that are counted together
 * @param urgency the urgency; 0 is the most urgent
 * @since 0.8.0
 */
public record RequestClass(String workspace, int urgency) {
    private static final int HASH_FACTOR = 31;

    /** Written out because the generated method takes longer before it is compiled. */
    @Override
    public boolean equals(@Nullable Object other) {
        return other instanceof RequestClass that && urgency == that.urgency && workspace.equals(that.workspace);
    }

    @Override
    public int hashCode() {
        return workspace.hashCode() * HASH_FACTOR + urgency;
    }

    /** Returns the class in which workspaces of the same urgency are counted that are not counted separately. */
    RequestClass merged() {
        return workspace.isEmpty() ? this : new RequestClass("", urgency);
    }
}
