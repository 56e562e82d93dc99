package org.radishpass.simulation;

import org.radishpass.routing.config.RequestKind;

/**
 * A class of similar requests: which service they go to, how often they arrive, and how much work they are.
 *
 * @param name the name of the class; also the key of its latency statistics and, for engines, of the prompt part that
 *     all its requests share
 * @param service the service that answers the requests
 * @param kind whether a request may run more than once, and whether its stream can be resumed
 * @param perSecond the requests that arrive in a second, over all routers
 * @param latencyTargetMillis the time from the arrival of a request within which its answer should begin, in
 *     milliseconds
 * @param deadlineMillis the time that a caller waits for the whole answer, in milliseconds
 * @param attempts the maximum number of attempts at one request; attempts that an endpoint rejects don't count
 * @param subjects the number of different subjects; requests on the same subject share a part of the prompt
 * @param commonTokens the prompt tokens that all requests of the class share
 * @param subjectTokens the prompt tokens that only requests on the same subject share
 * @param ownTokens the prompt tokens that no other request shares
 * @param outputTokens the mean number of generated tokens; 0 for plain services, which ignore all token counts
 * @param workMillis the mean processing time at a plain service, in milliseconds; engines ignore this value
 */
record RequestClass(
        String name,
        String service,
        RequestKind kind,
        double perSecond,
        double latencyTargetMillis,
        double deadlineMillis,
        int attempts,
        int subjects,
        int commonTokens,
        int subjectTokens,
        int ownTokens,
        int outputTokens,
        double workMillis) {
    /** Returns this class with its arrival rate multiplied by a factor. */
    RequestClass withRateTimes(double factor) {
        return new RequestClass(
                name,
                service,
                kind,
                perSecond * factor,
                latencyTargetMillis,
                deadlineMillis,
                attempts,
                subjects,
                commonTokens,
                subjectTokens,
                ownTokens,
                outputTokens,
                workMillis);
    }
}
