package org.radishpass.core.placement;

import java.util.OptionalInt;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.fleet.EndpointList;

/**
 * Tokens that name the endpoint that answered the last turn of a chat. The caller sends the token with the next turn.
 *
 * <p>A token is a hint. It is ignored unless it names an endpoint that accepts the request, and the load bound takes
 * precedence over it. The token depends on the workspace, so that it tells other workspaces nothing about the endpoint.
 * A forged token only makes the router try first an endpoint that accepts the request anyway.
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
     * @param endpointId the id of the endpoint
     */
    public static String of(String workspace, String endpointId) {
        return Long.toHexString(Rendezvous.mix(Rendezvous.hash(workspace), Rendezvous.hash(endpointId)));
    }

    /**
     * Returns the position of the endpoint that a token names.
     *
     * @param token the token that the caller sent, or null if there is none
     * @param workspace the workspace
     * @param endpoints the endpoints that accept the request
     * @return the position in the list, or empty if the token names none of the endpoints
     */
    public static OptionalInt find(@Nullable String token, String workspace, EndpointList endpoints) {
        if (token == null || token.length() > Long.BYTES * 2) {
            return OptionalInt.empty();
        }
        long tokenValue;
        try {
            tokenValue = Long.parseUnsignedLong(token, 16);
        } catch (NumberFormatException e) {
            return OptionalInt.empty();
        }
        long workspaceHash = Rendezvous.hash(workspace);
        for (int i = 0; i < endpoints.size(); i++) {
            if (Rendezvous.mix(workspaceHash, endpoints.identityHash(i)) == tokenValue) {
                return OptionalInt.of(i);
            }
        }
        return OptionalInt.empty();
    }
}
