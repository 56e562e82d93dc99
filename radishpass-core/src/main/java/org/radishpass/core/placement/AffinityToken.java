package org.radishpass.core.placement;

import java.util.OptionalInt;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.fleet.EndpointList;

/**
 * Names the endpoint that answered a chat's last turn, for the caller to bring back with the next.
 *
 * <p>It is a hint: it counts only if it fits an endpoint that is open to the request, and the bound on load goes before
 * it. It depends on the workspace, so that it says nothing to another, and forging one gains nothing but a first try at
 * an endpoint that was open anyway.
 *
 * @since 0.1.0
 */
public final class AffinityToken {
    private AffinityToken() {
        // static methods only
    }

    /**
     * Returns the token of an endpoint for a workspace.
     *
     * @param workspace the workspace
     * @param endpointId the endpoint
     */
    public static String of(String workspace, String endpointId) {
        return Long.toHexString(Rendezvous.mix(Rendezvous.hash(workspace), Rendezvous.hash(endpointId)));
    }

    /**
     * Finds the endpoint that a token names.
     *
     * @param token what the caller brought, if anything
     * @param workspace the workspace
     * @param endpoints the endpoints that are open to the request
     * @return its place in the list
     */
    public static OptionalInt find(@Nullable String token, String workspace, EndpointList endpoints) {
        if (token == null || token.length() > Long.BYTES * 2) {
            return OptionalInt.empty();
        }
        long wanted;
        try {
            wanted = Long.parseUnsignedLong(token, 16);
        } catch (NumberFormatException e) {
            return OptionalInt.empty();
        }
        long workspaceHash = Rendezvous.hash(workspace);
        for (int i = 0; i < endpoints.size(); i++) {
            if (Rendezvous.mix(workspaceHash, endpoints.identityHash(i)) == wanted) {
                return OptionalInt.of(i);
            }
        }
        return OptionalInt.empty();
    }
}
