package org.radishpass.routing.traffic;

/** Receives a connection to an endpoint, or the reason why there is none. */
interface ConnectionCallback {
    /** Called with a connection that carries no request. */
    void connected(EndpointConnection connection);

    /** Called when no connection could be established. Nothing has been sent. */
    void connectFailed(ConnectFailure failure);

    /**
     * Called when this router holds as many connections to the endpoint as it may, and none became idle in time.
     * Nothing has been sent.
     */
    void shareUsedUp();
}
