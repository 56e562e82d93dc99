package org.radishpass.router.internal.control;

import java.util.List;
import java.util.Set;
import org.radishpass.core.membership.EndpointReport;
import org.radishpass.peer.message.PeerMessage;

/**
 * Converts endpoints' reports to peer messages and back.
 *
 * @since 0.1.0
 */
final class ReportMessages {
    private ReportMessages() {
        // not instantiable
    }

    static PeerMessage toMessage(List<EndpointReport> reports) {
        return new PeerMessage.EndpointReports(
                reports.stream().map(ReportMessages::encode).toList());
    }

    static EndpointReport decode(PeerMessage.EndpointReport report) {
        return new EndpointReport(
                report.endpointId(),
                report.incarnation(),
                report.sequence(),
                report.state(),
                Set.copyOf(report.pools()),
                report.running(),
                report.capacity());
    }

    private static PeerMessage.EndpointReport encode(EndpointReport report) {
        return new PeerMessage.EndpointReport(
                report.endpointId(),
                report.incarnation(),
                report.sequence(),
                report.state(),
                List.copyOf(report.pools()),
                report.running(),
                report.capacity());
    }
}
