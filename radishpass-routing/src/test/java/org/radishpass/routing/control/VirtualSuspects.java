package org.radishpass.routing.control;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.radishpass.routing.fleet.SoftwareVersion;
import org.radishpass.routing.quarantine.CrashCause;
import org.radishpass.routing.quarantine.InProgressRequest;
import org.radishpass.routing.quarantine.PromptPartFingerprint;
import org.radishpass.routing.quarantine.Quarantine;
import org.radishpass.routing.quarantine.QuarantineListener;
import org.radishpass.routing.quarantine.QuarantineStatus;
import org.radishpass.routing.quarantine.RequestFeatures;
import org.radishpass.routing.quarantine.RequestFingerprint;
import org.radishpass.routing.quarantine.Suspect;
import org.radishpass.routing.quarantine.SuspectExchange;
import org.radishpass.routing.quarantine.SuspectListener;
import org.radishpass.routing.quarantine.SuspectReport;

/**
 * Simulates the part of a router's traffic side that deals with requests that are suspected of crashing their
 * endpoints.
 */
final class VirtualSuspects implements SuspectExchange, QuarantineListener {
    private static final String SERVICE = "orders";

    private final LongSupplier clock;
    private final Quarantine quarantine = new Quarantine(this);

    VirtualSuspects(LongSupplier clock) {
        this.clock = clock;
    }

    /** Simulates an endpoint that ends 100 ms after this router sent it a request. */
    void endedUnder(RequestFingerprint request, long endpointHash) {
        quarantine.endpointCrashed(
                SERVICE,
                endpointHash,
                List.of(new InProgressRequest(request, 100)),
                clock.getAsLong(),
                clock.getAsLong());
    }

    /** Simulates an endpoint that ends 100 ms after this router sent it a request with a part in its prompt. */
    void endedUnder(PromptPartFingerprint part, RequestFingerprint request, long endpointHash) {
        long nowMillis = clock.getAsLong();
        InProgressRequest inProgress = new InProgressRequest(request, 100, List.of(part));
        quarantine.endpointCrashed(SERVICE, endpointHash, List.of(inProgress), nowMillis, nowMillis);
    }

    /** Simulates the beginning of an answer to a prompt with a part. */
    void answered(PromptPartFingerprint part) {
        quarantine.responseBegan(List.of(part), SERVICE, SoftwareVersion.UNKNOWN, clock.getAsLong());
    }

    /** Returns the status of a request with a part in its prompt. */
    QuarantineStatus status(PromptPartFingerprint part, RequestFingerprint request) {
        return quarantine
                .decide(new RequestFeatures(request, List.of(part)), SERVICE, clock.getAsLong())
                .status();
    }

    /** Simulates an answer to a request at this router. */
    void answered(RequestFingerprint request) {
        quarantine.answered(request, SERVICE, clock.getAsLong());
    }

    QuarantineStatus status(RequestFingerprint request) {
        return quarantine
                .decide(new RequestFeatures(request, List.of()), SERVICE, clock.getAsLong())
                .status();
    }

    @Override
    public void mergeSuspects(SuspectReport report, String origin, Consumer<SuspectReport> newSuspects) {
        SuspectReport added = quarantine.merge(report, origin, clock.getAsLong());
        if (!added.isEmpty()) {
            newSuspects.accept(added);
        }
    }

    @Override
    public void mergeStoredSuspects(List<Suspect> suspects) {
        quarantine.mergeStored(suspects, clock.getAsLong());
    }

    @Override
    public void suspects(Consumer<SuspectReport> taker) {
        taker.accept(quarantine.all(clock.getAsLong()));
    }

    @Override
    public void setSuspectListener(SuspectListener listener) {
        quarantine.setSuspectListener(listener);
    }

    @Override
    public void quarantined(CrashCause cause, int crashes, String origin) {
        // nothing to do: tests query the status
    }

    @Override
    public void tried(CrashCause cause, int crashes) {
        // nothing to do: tests query the status
    }

    @Override
    public void cleared(CrashCause cause, int crashes) {
        // nothing to do: tests query the status
    }
}
