package org.radishpass.router.internal.control;

import java.util.List;
import java.util.Set;
import org.radishpass.core.membership.EndpointReport;
import org.radishpass.peer.message.PeerMessage;

/**
 * Turns endpoints' reports into messages and back.
 *
 * @since 0.1.0
 */
final class ReportMessages {
    private ReportMessages() {
        // static methods only
    }

    static PeerMessage of(List<EndpointReport> reports) {
        return new PeerMessage.EndpointReports(
                reports.stream().map(ReportMessages::write).toList());
    }

    static EndpointReport read(PeerMessage.EndpointReport report) {
        return new EndpointReport(
                report.endpointId(),
                report.incarnation(),
                report.sequence(),
                report.state(),
                Set.copyOf(report.pools()),
                report.running(),
                report.capacity());
    }

    private static PeerMessage.EndpointReport write(EndpointReport report) {
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
