package org.radishpass.routing.stream;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongUnaryOperator;

/**
 * The software versions at which streams may have begun, as this router knows them, with times on its own clock. Immutable.
 *
 * @since 0.13.0
 */
public final class StreamVersions {
    /** Nothing is known: no version counts as the only one. */
    public static final StreamVersions UNKNOWN = new StreamVersions(false, Long.MIN_VALUE, List.of());

    /**
     * Milliseconds after the end of a version's period in which streams may still begin there, at a router that is cut off
     * from the store and the other routers. It exceeds any network partition that a deployment must survive.
     */
    static final long LATE_BEGIN_MILLIS = 60_000;

    private final boolean known;
    private final long unknownUntilMillis;
    private final List<VersionPeriod> periods;

    private StreamVersions(boolean known, long unknownUntilMillis, List<VersionPeriod> periods) {
        this.known = known;
        this.unknownUntilMillis = unknownUntilMillis;
        this.periods = periods;
    }

    /**
     * Returns the versions of a record.
     *
     * @param record the record
     * @param toLocalMillis returns the latest time on the monotonic clock that a time of the store's clock may correspond to
     */
    public static StreamVersions of(StreamVersionRecord record, LongUnaryOperator toLocalMillis) {
        List<VersionPeriod> local = new ArrayList<>();
        for (VersionPeriod period : record.periods()) {
            local.add(
                    period.isOpen()
                            ? period
                            : new VersionPeriod(period.origin(), toLocalMillis.applyAsLong(period.endedAtMillis())));
        }
        long unknownUntil = record.unknownUntilMillis() == StreamVersionRecord.ALL_KNOWN
                ? Long.MIN_VALUE
                : toLocalMillis.applyAsLong(record.unknownUntilMillis());
        return new StreamVersions(true, unknownUntil, List.copyOf(local));
    }

    /**
     * Returns the only version at which streams of a service that can still be taken up may have begun; empty if there may
     * be several, or none is known.
     *
     * @param service the name of the service
     * @param lifetimeMillis the longest time for which a stream can be taken up, in milliseconds
     * @param nowMillis the time on the monotonic clock, in milliseconds
     */
    public Optional<StreamOrigin> sole(String service, long lifetimeMillis, long nowMillis) {
        if (!known || mayBeTakenUp(unknownUntilMillis, lifetimeMillis, nowMillis)) {
            return Optional.empty();
        }
        List<StreamOrigin> possible = periods.stream()
                .filter(period -> period.origin().service().equals(service))
                .filter(period -> period.isOpen() || mayBeTakenUp(period.endedAtMillis(), lifetimeMillis, nowMillis))
                .map(VersionPeriod::origin)
                .toList();
        return possible.size() == 1
                ? possible.stream().filter(origin -> origin.version().known()).findFirst()
                : Optional.empty();
    }

    /** Tells whether a stream that began by the end of a period can still be taken up. */
    private static boolean mayBeTakenUp(long endedAtMillis, long lifetimeMillis, long nowMillis) {
        return endedAtMillis != Long.MIN_VALUE && nowMillis - endedAtMillis < LATE_BEGIN_MILLIS + lifetimeMillis;
    }
}
