package org.radishpass.routing.control;

import java.util.List;
import org.radishpass.peer.message.RoutingMessage;
import org.radishpass.peer.message.WorkScope;
import org.radishpass.routing.quarantine.CauseDigests;
import org.radishpass.routing.quarantine.CrashCause;
import org.radishpass.routing.quarantine.EndpointCrash;
import org.radishpass.routing.quarantine.Suspect;
import org.radishpass.routing.quarantine.SuspectReport;

/** Maps between peer messages and reports of features of requests that are suspected of crashing endpoints. */
final class SuspectMessageMapper {
    private SuspectMessageMapper() {
        // static methods only
    }

    static RoutingMessage.SuspectRequests toMessage(SuspectReport report, WorkScope scope) {
        return new RoutingMessage.SuspectRequests(
                report.suspects().stream().map(SuspectMessageMapper::suspect).toList(),
                report.cleared().stream().map(SuspectMessageMapper::toMessage).toList(),
                scope);
    }

    static SuspectReport toReport(RoutingMessage.SuspectRequests message) {
        return new SuspectReport(
                message.suspects().stream().map(SuspectMessageMapper::suspect).toList(),
                message.cleared().stream().map(SuspectMessageMapper::toCause).toList());
    }

    private static RoutingMessage.SuspectRequest suspect(Suspect suspect) {
        return new RoutingMessage.SuspectRequest(
                toMessage(suspect.cause()),
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
        return new Suspect(toCause(entry.request()), crashes, Math.max(Suspect.NEVER_TRIED, entry.triedMillisAgo()));
    }

    private static RoutingMessage.RequestDigests toMessage(CrashCause cause) {
        CauseDigests digests = cause.digests();
        return new RoutingMessage.RequestDigests(digests.workspace(), digests.target(), digests.content());
    }

    private static CrashCause toCause(RoutingMessage.RequestDigests digests) {
        return new CauseDigests(digests.workspace(), digests.target(), digests.body()).cause();
    }
}
