package org.radishpass.routing.exchange;

import org.radishpass.routing.dialect.ResponseHead;

/**
 * To which request the response belongs that a connection delivers while a request is in flight. Its place on the
 * connection is no evidence, since endpoints may send responses late or twice.
 *
 * @since 0.16.0
 */
public enum ResponseOwner {
    /** The response belongs to the request in flight. */
    THIS_REQUEST,
    /** The response belongs to another request. */
    OTHER_REQUEST,
    /** Nothing shows to which request the response belongs. */
    UNKNOWN;

    /**
     * Returns the owner of a response.
     *
     * @param head the head of the response
     * @param requestId the id of the request in flight; empty if it has none
     * @param reused whether the connection carried another request before
     * @param idsEchoed whether endpoints state the id of the request in each response
     */
    public static ResponseOwner of(ResponseHead head, String requestId, boolean reused, boolean idsEchoed) {
        if (head.ambiguous()) {
            return UNKNOWN;
        }
        String stated = head.requestId();
        if (stated != null) {
            return stated.equals(requestId) ? THIS_REQUEST : OTHER_REQUEST;
        }
        if (requestId.isEmpty() || !idsEchoed) {
            return reused ? UNKNOWN : THIS_REQUEST;
        }
        return reused || head.successful() ? UNKNOWN : THIS_REQUEST;
    }
}
