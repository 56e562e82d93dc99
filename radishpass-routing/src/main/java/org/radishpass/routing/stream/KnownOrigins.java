package org.radishpass.routing.stream;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** The origins of streams, each until the stream can no longer be taken up. Bounded: the oldest give way. */
final class KnownOrigins {
    /** The most streams whose origins are kept: about 2 MB. */
    static final int MAX_STREAMS = 16_384;

    private final Map<Long, KnownOrigin> byStream = new LinkedHashMap<>();

    /** Adds the origin of a stream. The first one that is added for a stream holds. */
    void add(KnownOrigin known) {
        byStream.putIfAbsent(known.stream(), known);
        if (byStream.size() > MAX_STREAMS) {
            byStream.remove(byStream.keySet().iterator().next());
        }
    }

    Optional<StreamOrigin> find(long stream, long nowMillis) {
        return Optional.ofNullable(byStream.get(stream))
                .filter(known -> !known.expired(nowMillis))
                .map(KnownOrigin::origin);
    }

    /** Removes and returns the origins that a condition selects. */
    List<KnownOrigin> take(Predicate<StreamOrigin> condition) {
        List<KnownOrigin> taken = new ArrayList<>();
        Iterator<KnownOrigin> all = byStream.values().iterator();
        while (all.hasNext()) {
            KnownOrigin known = all.next();
            if (condition.test(known.origin())) {
                taken.add(known);
                all.remove();
            }
        }
        return taken;
    }

    void removeExpired(long nowMillis) {
        byStream.values().removeIf(known -> known.expired(nowMillis));
    }

    int size() {
        return byStream.size();
    }
}
