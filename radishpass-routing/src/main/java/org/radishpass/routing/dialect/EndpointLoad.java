package org.radishpass.routing.dialect;

/**
 * The load that an endpoint reports in a response.
 *
 * @param running the number of running requests
 * @param waiting the number of requests that wait for a slot
 * @param slots the number of requests that can run concurrently
 * @param slowdownPercent how long work currently takes at the endpoint compared with the usual time, in percent;
 *     {@link #NOT_STATED} if the endpoint does not state it
 * @since 0.2.0
 */
public record EndpointLoad(int running, int waiting, int slots, int slowdownPercent) {
    /** The slowdown of an endpoint that does not state it. */
    public static final int NOT_STATED = 0;

    /** Creates the load of an endpoint that does not state how long work takes. */
    public EndpointLoad(int running, int waiting, int slots) {
        this(running, waiting, slots, NOT_STATED);
    }

    /** Tells whether the endpoint states how long work currently takes. */
    public boolean statesSlowdown() {
        return slowdownPercent != NOT_STATED;
    }
}
