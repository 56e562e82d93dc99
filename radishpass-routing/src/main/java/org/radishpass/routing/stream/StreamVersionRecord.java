package org.radishpass.routing.stream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The software versions at which streams may have begun, as recorded in the store. A version is recorded before the first
 * stream begins there, so what is not recorded has begun no stream. The record outlives all routers; it changes only when
 * versions come and go. Immutable.
 *
 * @param era the era of the store in which the record was written
 * @param unknownUntilMillis streams that began earlier may be of any version, on the store's clock in milliseconds; {@link
 *     #ALL_KNOWN} if there are none
 * @param periods the periods of the versions, each version once
 * @since 0.13.0
 */
public record StreamVersionRecord(long era, long unknownUntilMillis, List<VersionPeriod> periods) {
    /** The value of {@link #unknownUntilMillis} if all versions at which streams began are recorded. */
    public static final long ALL_KNOWN = Long.MIN_VALUE;

    /** The era of a record that cannot be decoded, which equals the era of no store. */
    private static final long NO_STORE_ERA = -2;

    /** The record in place of one that cannot be decoded. It holds nothing, and is older than any store. */
    public static final StreamVersionRecord UNREADABLE = new StreamVersionRecord(NO_STORE_ERA, ALL_KNOWN, List.of());

    /** Maximum number of periods, which bounds the size of the record: some 10 KB. */
    static final int MAX_PERIODS = 160;

    /** Creates a record with a copy of the periods. */
    public StreamVersionRecord {
        periods = List.copyOf(periods);
    }

    /** Returns the record of a deployment in which no stream has begun yet. */
    public static StreamVersionRecord first(long era) {
        return new StreamVersionRecord(era, ALL_KNOWN, List.of());
    }

    /** Tells whether streams may begin at a version. */
    public boolean open(StreamOrigin origin) {
        return periods.contains(VersionPeriod.open(origin));
    }

    /** Tells whether streams of one service may be of several versions, now or in the past. */
    public boolean mixed() {
        Set<String> services = new LinkedHashSet<>();
        return unknownUntilMillis != ALL_KNOWN
                || periods.stream()
                        .anyMatch(period -> !services.add(period.origin().service()));
    }

    /**
     * Returns this record for a store whose history before is not known, such as one that was restored from a snapshot.
     *
     * @param newEra the era of the store
     * @param storeMillis the time on the store's clock, in milliseconds
     */
    public StreamVersionRecord withUnknownHistory(long newEra, long storeMillis) {
        List<VersionPeriod> ended = new ArrayList<>();
        for (VersionPeriod period : periods) {
            // the clock of a restored store may be earlier than the end of a period
            boolean endsLater = !period.isOpen() && period.endedAtMillis() > storeMillis;
            ended.add(endsLater ? new VersionPeriod(period.origin(), storeMillis) : period);
        }
        return new StreamVersionRecord(newEra, storeMillis, ended);
    }

    /**
     * Returns this record after a read of the endpoint list.
     *
     * @param listed the listed versions
     * @param settled whether versions that are not listed are gone
     * @param storeMillis the time on the store's clock, in milliseconds
     */
    public StreamVersionRecord listing(Collection<StreamOrigin> listed, boolean settled, long storeMillis) {
        List<VersionPeriod> updated = new ArrayList<>();
        Set<StreamOrigin> missing = new LinkedHashSet<>(listed);
        for (VersionPeriod period : periods) {
            boolean isListed = missing.remove(period.origin());
            if (isListed) {
                updated.add(VersionPeriod.open(period.origin()));
            } else if (period.isOpen() && settled) {
                updated.add(new VersionPeriod(period.origin(), storeMillis));
            } else {
                updated.add(period);
            }
        }
        missing.forEach(origin -> updated.add(VersionPeriod.open(origin)));
        return new StreamVersionRecord(era, unknownUntilMillis, updated).bounded();
    }

    /** Forgets the periods that ended first, beyond the maximum. Streams that began before their end are unknown then. */
    private StreamVersionRecord bounded() {
        if (periods.size() <= MAX_PERIODS) {
            return this;
        }
        List<VersionPeriod> ended = periods.stream()
                .filter(period -> !period.isOpen())
                .sorted(Comparator.comparingLong(VersionPeriod::endedAtMillis))
                .limit(periods.size() - MAX_PERIODS)
                .toList();
        long unknownUntil =
                ended.stream().mapToLong(VersionPeriod::endedAtMillis).reduce(unknownUntilMillis, Math::max);
        return new StreamVersionRecord(
                era,
                unknownUntil,
                periods.stream().filter(period -> !ended.contains(period)).toList());
    }
}
