package org.radishpass.routing.load;

import java.util.List;
import java.util.Map;

/**
 * What the traffic thread has to tell other routers at one moment.
 *
 * @param own this router's own work, by endpoint
 * @param group this router's work, and that of the members of its group, by endpoint
 * @param withoutMember for each member, all work that is known but for its own
 * @param failing the endpoints that this router, or a member of its group, has seen to fail too often
 * @param allFailing those, and the ones that other groups told of
 * @since 0.3.0
 */
public record WorkReport(
        Map<String, InFlight> own,
        Map<String, InFlight> group,
        Map<String, Map<String, InFlight>> withoutMember,
        List<String> failing,
        List<String> allFailing) {}
