package org.radishpass.routing.control;

import java.util.List;
import org.radishpass.peer.message.RoutingMessage;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.routing.quarantine.EndpointCrash;
import org.radishpass.routing.quarantine.RequestFingerprint;
import org.radishpass.routing.quarantine.Suspect;
import org.radishpass.routing.quarantine.SuspectReport;

/** Maps between peer messages and reports of requests that are suspected of crashing their endpoints. */
final class SuspectMessageMapper {
    private SuspectMessageMapper() {
        // static methods only
    }

    static RoutingMessage.SuspectRequests toMessage(SuspectReport report, WorkScope scope) {
        return new RoutingMessage.SuspectRequests(
                report.suspects().stream().map(SuspectMessageMapper::suspect).toList(),
                report.cleared().stream()
                        .map(SuspectMessageMapper::toRequestDigests)
                        .toList(),
                scope);
    }

    static SuspectReport toReport(RoutingMessage.SuspectRequests message) {
        return new SuspectReport(
                message.suspects().stream().map(SuspectMessageMapper::suspect).toList(),
                message.cleared().stream()
                        .map(SuspectMessageMapper::toFingerprint)
                        .toList());
    }

    private static RoutingMessage.SuspectRequest suspect(Suspect suspect) {
        return new RoutingMessage.SuspectRequest(
                toRequestDigests(suspect.request()),
                suspect.crashes().stream()
                        .map(crash -> new RoutingMessage.EndedEndpoint(
                                crash.endpointHash(), crash.ageMillis(), crash.inProgressMillis()))
                        .toList(),
                suspect.triedMillisAgo());
    }

    private static Suspect suspect(RoutingMessage.SuspectRequest entry) {
        List<EndpointCrash> crashes = entry.ends().stream()
                .map(end -> new EndpointCrash(end.endpointHash(), Math.max(0, end.ageMillis()), end.inProgressMillis()))
                .toList();
        return new Suspect(
                toFingerprint(entry.request()), crashes, Math.max(Suspect.NEVER_TRIED, entry.triedMillisAgo()));
    }

    private static RoutingMessage.RequestDigests toRequestDigests(RequestFingerprint request) {
        return new RoutingMessage.RequestDigests(request.workspace(), request.target(), request.body());
    }

    private static RequestFingerprint toFingerprint(RoutingMessage.RequestDigests digests) {
        return new RequestFingerprint(digests.workspace(), digests.target(), digests.body());
    }
}
