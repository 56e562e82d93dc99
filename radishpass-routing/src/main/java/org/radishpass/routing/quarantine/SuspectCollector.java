package org.radishpass.routing.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import org.radishpass.routing.fleet.SoftwareVersion;

/** Collects the suspects of a crash: features that nothing is known in favour of. */
final class SuspectCollector {
    /**
     * The maximum number of suspects of one kind and one crash: those of the requests sent last, since the cause is among
     * them. Few enough for messages of 1.4 KB.
     */
    static final int MAX_SUSPECTS_OF_CRASH = 32;

    private final HarmlessParts harmlessParts = new HarmlessParts();
    private LongFunction<SoftwareVersion> endpointVersions = hash -> SoftwareVersion.UNKNOWN;

    /** Sets where the software versions of endpoints are known, by the hash of the endpoint's id. */
    void endpointVersions(LongFunction<SoftwareVersion> versions) {
        endpointVersions = versions;
    }

    /** Returns the software version of an endpoint by the hash of its id. */
    SoftwareVersion softwareVersion(long endpointHash) {
        return endpointVersions.apply(endpointHash);
    }

    /** Records that an endpoint of a software version has begun to answer a prompt with a part. */
    void answered(PromptPartFingerprint part, SoftwareVersion version) {
        harmlessParts.add(part, version);
    }

    /**
     * Returns the suspects of a crash.
     *
     * @param inProgress the requests that were in progress at the endpoint
     * @param endpointHash the hash of the endpoint's id
     * @param ageMillis the time since the crash, in milliseconds
     */
    List<Suspect> collect(Collection<InProgressRequest> inProgress, long endpointHash, long ageMillis) {
        List<InProgressRequest> lastFirst = inProgress.stream()
                .sorted(Comparator.comparingLong(InProgressRequest::millis))
                .toList();
        List<Suspect> suspects = new ArrayList<>();
        lastFirst.stream()
                .limit(MAX_SUSPECTS_OF_CRASH)
                .forEach(request -> suspects.add(
                        suspect(request.request(), new EndpointCrash(endpointHash, ageMillis, request.millis()))));
        unclearedParts(lastFirst, softwareVersion(endpointHash))
                .forEach((part, millis) ->
                        suspects.add(suspect(part, new EndpointCrash(endpointHash, ageMillis, millis))));
        return suspects;
    }

    /** Returns the parts not known to be harmless, and the time for which the last request with the part was in progress. */
    private Map<PromptPartFingerprint, Long> unclearedParts(
            List<InProgressRequest> lastFirst, SoftwareVersion version) {
        Map<PromptPartFingerprint, Long> parts = new LinkedHashMap<>();
        for (InProgressRequest request : lastFirst) {
            List<PromptPartFingerprint> inOrder = request.unansweredParts();
            for (int index = inOrder.size() - 1; index >= 0 && parts.size() < MAX_SUSPECTS_OF_CRASH; index--) {
                PromptPartFingerprint part = inOrder.get(index);
                if (!harmlessParts.contains(part, version)) {
                    parts.putIfAbsent(part, request.millis());
                }
            }
        }
        return parts;
    }

    /**
     * Returns a suspect that another router reports without the crashes of endpoints whose software is known to answer
     * the feature.
     */
    Suspect withoutRefutedCrashes(Suspect suspect) {
        if (!(suspect.cause() instanceof PromptPartFingerprint part)) {
            return suspect;
        }
        List<EndpointCrash> credible = suspect.crashes().stream()
                .filter(crash -> !harmlessParts.contains(part, softwareVersion(crash.endpointHash())))
                .toList();
        return new Suspect(part, credible, suspect.triedMillisAgo());
    }

    private static Suspect suspect(CrashCause cause, EndpointCrash crash) {
        return new Suspect(cause, List.of(crash), Suspect.NEVER_TRIED);
    }
}
