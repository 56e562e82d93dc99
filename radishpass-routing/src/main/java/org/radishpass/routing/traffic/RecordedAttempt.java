package org.radishpass.routing.traffic;

import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.connection.ConnectionUse;
import org.radishpass.routing.dialect.ResponseHead;
import org.radishpass.routing.fleet.DirectoryOrigin;
import org.radishpass.routing.framing.BodyFraming;
import org.radishpass.routing.framing.ResponseEnd;
import org.radishpass.routing.performance.EndpointSpeed;
import org.radishpass.routing.performance.PlacementEstimate;
import org.radishpass.routing.placement.PlacementChoice;

/**
 * One attempt to have the request run. Times are in milliseconds after the request was received; -1 for an event that
 * did not happen.
 */
abstract class RecordedAttempt {
    long sentAfterMillis = -1;
    long headAfterMillis = -1;
    String stated = "";

    @Nullable
    String end;

    private String responseEnd = "";

    /** Records how the response ended. */
    void responseEnded(BodyFraming framing, ResponseEnd how) {
        responseEnd = " framing " + framing.text() + " end " + how.evidence().text();
    }

    /** Returns the end of the description: how the response ended, and how the attempt ended if not with a response. */
    String describeEnd() {
        return responseEnd + (end == null ? "" : ": " + end);
    }

    /** An attempt through another router. */
    static final class RelayRecord extends RecordedAttempt {
        private final String routerId;
        private final long chosenAfterMillis;

        RelayRecord(String routerId, long chosenAfterMillis) {
            this.routerId = routerId;
            this.chosenAfterMillis = chosenAfterMillis;
        }

        @Override
        public String toString() {
            return "router/" + routerId + " relayed chosen " + chosenAfterMillis + " sent " + sentAfterMillis + " head "
                    + headAfterMillis + stated + describeEnd();
        }
    }

    /**
     * The choice of an endpoint and the attempt at this endpoint. Times are in milliseconds after the request was
     * received; -1 for an event that did not happen.
     */
    static final class AttemptRecord extends RecordedAttempt {
        private @Nullable ConnectionUse connectionUse;
        private final PlacementChoice choice;
        private final long chosenAtMillis;
        private final long chosenAfterMillis;
        private final DirectoryOrigin origin;
        private final long directoryAgeMillis;
        private @Nullable ResponseHead responseHead;

        AttemptRecord(PlacementChoice choice, DirectoryOrigin origin, long receivedAtMillis, long nowMillis) {
            this.choice = choice;
            this.origin = origin;
            this.chosenAtMillis = nowMillis;
            this.chosenAfterMillis = nowMillis - receivedAtMillis;
            this.directoryAgeMillis = nowMillis - origin.readAtMillis();
        }

        /** Records on which connection the request is sent. */
        void sentOn(ConnectionUse use) {
            this.connectionUse = use;
        }

        /** Records the head of the response. */
        void head(ResponseHead head) {
            this.responseHead = head;
        }

        @Override
        public String toString() {
            return choice.endpoint().id() + " version " + choice.endpoint().softwareVersion() + " rank " + choice.rank()
                    + " load " + choice.load() + "/"
                    + Math.round(choice.limit()) + " of " + choice.candidates() + " list " + origin.position()
                    + " from "
                    + origin.source() + (origin.settled() ? "" : " unsettled") + " listAge " + directoryAgeMillis
                    + " chosen " + chosenAfterMillis + " sent " + sentAfterMillis + " head " + headAfterMillis + stated
                    + (connectionUse == null ? "" : " connection " + connectionUse.text())
                    + describeEstimate(choice.estimate())
                    + choice.holder().map(holder -> " cacheFrom " + holder.id()).orElse("")
                    + (responseHead == null ? "" : describeResponse(responseHead)) + describeEnd();
        }

        private String describeEstimate(PlacementEstimate estimate) {
            if (!estimate.timeEstimated()) {
                return "";
            }
            EndpointSpeed speed = estimate.speed();
            return " expected " + Math.round(estimate.expectedMillis()) + " slowdown " + speed.slowdownPercent()
                    + (speed.known() ? " slowdownAge " + (chosenAtMillis - speed.observedAtMillis()) : "");
        }

        private static String describeResponse(ResponseHead head) {
            OptionalLong backoffMillis = head.backoffMillis();
            return " status " + head.status() + (head.leaving() ? " leaving" : "")
                    + (backoffMillis.isPresent() ? " retryAfter " + backoffMillis.getAsLong() : "");
        }
    }
}
