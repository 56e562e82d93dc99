package org.radishpass.routing.control;

import java.util.List;
import org.radishpass.peer.message.RoutingMessage;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.routing.quarantine.RequestFingerprint;
import org.radishpass.routing.quarantine.Sighting;
import org.radishpass.routing.quarantine.Suspect;
import org.radishpass.routing.quarantine.SuspectReport;

/** Translates between messages to peers and reports of requests that may end their endpoints. */
final class SuspectMessages {
    private SuspectMessages() {
        // static methods only
    }

    static RoutingMessage.SuspectRequests message(SuspectReport report, WorkScope scope) {
        return new RoutingMessage.SuspectRequests(
                report.suspects().stream().map(SuspectMessages::suspect).toList(),
                report.cleared().stream().map(SuspectMessages::name).toList(),
                scope);
    }

    static SuspectReport report(RoutingMessage.SuspectRequests message) {
        return new SuspectReport(
                message.suspects().stream().map(SuspectMessages::suspect).toList(),
                message.cleared().stream().map(SuspectMessages::fingerprint).toList());
    }

    private static RoutingMessage.SuspectRequest suspect(Suspect suspect) {
        return new RoutingMessage.SuspectRequest(
                name(suspect.request()),
                suspect.ends().stream()
                        .map(end -> new RoutingMessage.EndedEndpoint(
                                end.endpointHash(), end.ageMillis(), end.atWorkMillis()))
                        .toList(),
                suspect.triedMillisAgo());
    }

    private static Suspect suspect(RoutingMessage.SuspectRequest entry) {
        List<Sighting> ends = entry.ends().stream()
                .map(end -> new Sighting(end.endpointHash(), Math.max(0, end.ageMillis()), end.atWorkMillis()))
                .toList();
        return new Suspect(fingerprint(entry.request()), ends, Math.max(Suspect.NEVER_TRIED, entry.triedMillisAgo()));
    }

    private static RoutingMessage.RequestName name(RequestFingerprint request) {
        return new RoutingMessage.RequestName(request.workspace(), request.target(), request.body());
    }

    private static RequestFingerprint fingerprint(RoutingMessage.RequestName name) {
        return new RequestFingerprint(name.workspace(), name.target(), name.body());
    }
}
