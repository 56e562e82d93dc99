package org.radishpass.routing.quarantine;

/**
 * A crash of an endpoint while a request was in progress there.
 *
 * @param endpointHash the hash of the endpoint's id, which names one incarnation of the endpoint
 * @param ageMillis the time since the crash, in milliseconds
 * @param inProgressMillis the time from sending the request to the crash, in milliseconds
 * @since 0.5.0
 */
public record EndpointCrash(long endpointHash, long ageMillis, long inProgressMillis) {
    /** Returns this crash with its age increased by a time in milliseconds. */
    EndpointCrash aged(long millis) {
        return new EndpointCrash(endpointHash, ageMillis + millis, inProgressMillis);
    }
}
