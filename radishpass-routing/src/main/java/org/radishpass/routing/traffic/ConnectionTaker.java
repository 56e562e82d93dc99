package org.radishpass.routing.traffic;

/** Takes a connection to an endpoint, or hears that there is none. */
interface ConnectionTaker {
    /** There is a connection that carries nothing. */
    void connected(EndpointConnection connection);

    /** None could be made; nothing has been sent. */
    void unreachable(ConnectFailure failure);
}
