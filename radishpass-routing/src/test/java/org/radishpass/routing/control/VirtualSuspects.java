package org.radishpass.routing.control;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.radishpass.routing.quarantine.AtWork;
import org.radishpass.routing.quarantine.Quarantine;
import org.radishpass.routing.quarantine.RequestFingerprint;
import org.radishpass.routing.quarantine.Standing;
import org.radishpass.routing.quarantine.Suspect;
import org.radishpass.routing.quarantine.SuspectListener;
import org.radishpass.routing.quarantine.SuspectReport;
import org.radishpass.routing.quarantine.SuspectSource;

/**
 * Simulates the part of a router's traffic side that deals with requests that are suspected of crashing their
 * endpoints.
 */
final class VirtualSuspects implements SuspectSource, Quarantine.Listener {
    private static final String SERVICE = "orders";

    private final LongSupplier clock;
    private final Quarantine quarantine = new Quarantine(this);

    VirtualSuspects(LongSupplier clock) {
        this.clock = clock;
    }

    /** Simulates an endpoint that ends 100 ms after this router sent it a request. */
    void endedUnder(RequestFingerprint request, long endpointHash) {
        quarantine.ended(SERVICE, endpointHash, List.of(new AtWork(request, 100)), clock.getAsLong());
    }

    /** Simulates an answer to a request at this router. */
    void answered(RequestFingerprint request) {
        quarantine.answered(request, SERVICE, clock.getAsLong());
    }

    Standing standing(RequestFingerprint request) {
        return quarantine.standing(request, SERVICE, clock.getAsLong());
    }

    @Override
    public void suspectsTold(SuspectReport report, String origin, Consumer<SuspectReport> newSuspects) {
        SuspectReport added = quarantine.told(report, origin, clock.getAsLong());
        if (!added.isEmpty()) {
            newSuspects.accept(added);
        }
    }

    @Override
    public void suspectsRestored(List<Suspect> suspects) {
        quarantine.restored(suspects, clock.getAsLong());
    }

    @Override
    public void suspects(Consumer<SuspectReport> taker) {
        taker.accept(quarantine.all(clock.getAsLong()));
    }

    @Override
    public void onSuspects(SuspectListener listener) {
        quarantine.onNews(listener);
    }

    @Override
    public void quarantined(RequestFingerprint request, int ends, String origin) {
        // nothing to do: tests query the standing
    }

    @Override
    public void tried(RequestFingerprint request, int ends) {
        // nothing to do: tests query the standing
    }

    @Override
    public void cleared(RequestFingerprint request, int ends) {
        // nothing to do: tests query the standing
    }
}
