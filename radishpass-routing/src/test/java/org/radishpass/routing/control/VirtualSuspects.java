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

/** The traffic side of a router in virtual time, as far as requests that may end their endpoints go. */
final class VirtualSuspects implements SuspectSource, Quarantine.Listener {
    private static final String SERVICE = "orders";

    private final LongSupplier clock;
    private final Quarantine quarantine = new Quarantine(this);

    VirtualSuspects(LongSupplier clock) {
        this.clock = clock;
    }

    /** An endpoint ends 100 ms after a request was sent there by this router. */
    void endedUnder(RequestFingerprint request, long endpointHash) {
        quarantine.ended(SERVICE, endpointHash, List.of(new AtWork(request, 100)), clock.getAsLong());
    }

    /** A request is answered by this router. */
    void answered(RequestFingerprint request) {
        quarantine.answered(request, SERVICE, clock.getAsLong());
    }

    Standing standing(RequestFingerprint request) {
        return quarantine.standing(request, SERVICE, clock.getAsLong());
    }

    @Override
    public void suspectsTold(SuspectReport report, String origin, Consumer<SuspectReport> news) {
        SuspectReport unknown = quarantine.told(report, origin, clock.getAsLong());
        if (!unknown.isEmpty()) {
            news.accept(unknown);
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
        // a test asks for the standing
    }

    @Override
    public void tried(RequestFingerprint request, int ends) {
        // of no interest here
    }

    @Override
    public void cleared(RequestFingerprint request, int ends) {
        // of no interest here
    }
}
