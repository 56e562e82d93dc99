package org.radishpass.routing.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.radishpass.routing.dialect.PromptDescription;
import org.radishpass.routing.dialect.PromptPart;
import org.radishpass.routing.fleet.SoftwareVersion;

/**
 * Tests when a part of a prompt counts as the cause of endpoint crashes, which requests are refused on account of it, and
 * how it is cleared. No two requests of these tests are equal.
 */
final class PromptPartQuarantineTest {
    private static final String SERVICE = "chat";
    private static final long NOW = 1_000_000;
    private static final long SOON = 100;
    private static final long INTERVAL = 500;
    private static final long MINUTE = TimeUnit.MINUTES.toMillis(1);
    private static final SoftwareVersion V1 = new SoftwareVersion("v1");
    private static final SoftwareVersion V2 = new SoftwareVersion("v2");
    private static final String OWN = "own";
    private static final String OTHER = "other";

    private final List<String> calls = new ArrayList<>();
    private final List<SuspectReport> reports = new ArrayList<>();
    private final Quarantine quarantine = quarantine(calls, reports);
    private SoftwareVersion version = V1;
    private int requests;

    PromptPartQuarantineTest() {
        quarantine.endpointVersions(hash -> version);
    }

    /** Guards against a part that crashed 18 endpoints because each request with it was another one. */
    @Test
    void threeConsecutiveCrashesQuarantineAPartWhateverElseTheRequestsHold() {
        answered(NOW, "a", "b");
        crash(1, NOW + INTERVAL, "a", "bad");
        assertThat(status(NOW + INTERVAL, "a", "bad")).isEqualTo(QuarantineStatus.SUSPECTED);
        crash(2, NOW + 2 * INTERVAL, "a", "b", "bad");
        crash(3, NOW + 3 * INTERVAL, "bad");
        assertThat(status(NOW + 3 * INTERVAL, "a", "c", "bad")).isEqualTo(QuarantineStatus.QUARANTINED);
        assertThat(status(NOW + 3 * INTERVAL, "a", "b", "c")).isEqualTo(QuarantineStatus.CLEAR);
        assertThat(calls).containsExactly("kept with 3", "quarantined after 3").inOrder();
    }

    @Test
    void theLastPartIsNeverACause() {
        assertThat(features(OWN, "a", "b").parts()).hasSize(1);
        assertThat(features(OWN).parts()).isEmpty();
    }

    @Test
    void requestsThatHadBegunToBeAnsweredAreNotSuspectedByTheirParts() {
        for (int end = 1; end <= 5; end++) {
            RequestFingerprint request = features(OWN, "a", "last").request();
            quarantine.endpointCrashed(
                    SERVICE, end, List.of(new InProgressRequest(request, SOON)), NOW + end * INTERVAL, NOW);
        }
        assertThat(status(NOW + 9 * INTERVAL, "a", "last")).isEqualTo(QuarantineStatus.CLEAR);
    }

    @Test
    void crashesAtTheSameMomentCountOnceAndDoNotHideLaterOnes() {
        for (int end = 1; end <= 40; end++) {
            crash(end, NOW + end, "bad");
        }
        assertThat(status(NOW + 41, "bad")).isEqualTo(QuarantineStatus.SUSPECTED);
        crash(41, NOW + INTERVAL, "bad");
        crash(42, NOW + 2 * INTERVAL, "bad");
        assertThat(status(NOW + 2 * INTERVAL, "bad")).isEqualTo(QuarantineStatus.QUARANTINED);
    }

    /** A part that always comes with the bad one has the same crashes. Only requests with both are refused. */
    @Test
    void aHarmlessPartThatAlwaysComesWithTheCauseIsNotRefusedByItself() {
        crashes(3, "rare", "bad");
        assertThat(status(NOW + 3 * INTERVAL, "rare", "bad")).isEqualTo(QuarantineStatus.QUARANTINED);
        assertThat(status(NOW + 3 * INTERVAL, "rare")).isEqualTo(QuarantineStatus.SUSPECTED);
        answered(NOW + 3 * INTERVAL, "rare");
        assertThat(status(NOW + 3 * INTERVAL, "rare")).isEqualTo(QuarantineStatus.CLEAR);
        assertThat(status(NOW + 3 * INTERVAL, "bad")).isEqualTo(QuarantineStatus.QUARANTINED);
    }

    @Test
    void aCrashWithoutItTellsAHarmlessPartFromTheCause() {
        crashes(3, "rare", "bad");
        crash(4, NOW + 4 * INTERVAL, "bad");
        assertThat(status(NOW + 4 * INTERVAL, "bad")).isEqualTo(QuarantineStatus.QUARANTINED);
        assertThat(status(NOW + 4 * INTERVAL, "rare")).isEqualTo(QuarantineStatus.SUSPECTED);
    }

    @Test
    void twoBadPartsAreToldApart() {
        for (int end = 0; end < 6; end++) {
            crash(end, NOW + end * INTERVAL, end % 2 == 0 ? "bad" : "worse");
        }
        long later = NOW + 6 * INTERVAL;
        assertThat(status(later, "bad")).isEqualTo(QuarantineStatus.QUARANTINED);
        assertThat(status(later, "worse")).isEqualTo(QuarantineStatus.QUARANTINED);
        assertThat(status(later, "a")).isEqualTo(QuarantineStatus.CLEAR);
    }

    @Test
    void anAnswerOfOneSoftwareVersionProvesNothingAboutAnother() {
        answered(NOW, "a");
        version = V2;
        crashes(3, "a");
        answeredBy(V1, NOW + 3 * INTERVAL, "a");
        assertThat(status(NOW + 3 * INTERVAL, "a")).isEqualTo(QuarantineStatus.QUARANTINED);
        answeredBy(V2, NOW + 3 * INTERVAL, "a");
        assertThat(status(NOW + 3 * INTERVAL, "a")).isEqualTo(QuarantineStatus.CLEAR);
        assertThat(calls).contains("cleared after 3");
    }

    /** The id of a part is stated by callers: naming the parts of others beside a bad one must not have them refused. */
    @Test
    void aWorkspaceCannotHaveThePartsOfAnotherRefused() {
        crashes(5, "a", "b", "bad");
        assertThat(status(OTHER, NOW + 5 * INTERVAL, "a", "b", "bad")).isEqualTo(QuarantineStatus.CLEAR);
        RequestFeatures ofOther = features(OTHER, "a", "b", "last");
        crash(ofOther, 6, NOW + 6 * INTERVAL);
        assertThat(status(OTHER, NOW + 6 * INTERVAL, "a", "c", "last")).isEqualTo(QuarantineStatus.SUSPECTED);
        quarantine.responseBegan(ofOther.parts(), SERVICE, V1, NOW + 6 * INTERVAL);
        assertThat(status(OTHER, NOW + 6 * INTERVAL, "a", "b", "last")).isEqualTo(QuarantineStatus.CLEAR);
        assertThat(status(NOW + 6 * INTERVAL, "a", "b", "bad")).isEqualTo(QuarantineStatus.QUARANTINED);
    }

    @Test
    void aWorkspaceNeedsOneCrashOfItsOwnIfAnotherHasThePartQuarantined() {
        crashes(3, "bad");
        crash(features(OTHER, "bad", "last"), 4, NOW + 4 * INTERVAL);
        assertThat(status(OTHER, NOW + 4 * INTERVAL, "bad")).isEqualTo(QuarantineStatus.QUARANTINED);
    }

    @Test
    void onlyTheElectedRouterMakesATrialAndOnlyTwoFail() {
        crashes(3, "bad");
        long first = NOW + 2 * INTERVAL + 10 * MINUTE;
        assertThat(status(first - 1, "bad")).isEqualTo(QuarantineStatus.QUARANTINED);
        quarantine.trialElection(trial -> false);
        assertThat(status(first, "bad")).isEqualTo(QuarantineStatus.QUARANTINED);
        quarantine.trialElection(trial -> true);
        assertThat(status(first, "bad")).isEqualTo(QuarantineStatus.ON_TRIAL);
        quarantine.sent(features(OWN, "bad", "last"), first);
        assertThat(status(first + 1, "bad")).isEqualTo(QuarantineStatus.QUARANTINED);
        crash(4, first + SOON, "bad");
        long second = first + SOON + 120 * MINUTE;
        assertThat(status(second - 1, "bad")).isEqualTo(QuarantineStatus.QUARANTINED);
        assertThat(status(second, "bad")).isEqualTo(QuarantineStatus.ON_TRIAL);
        crash(5, second + SOON, "bad");
        assertThat(status(second + 25 * 60 * MINUTE, "bad")).isEqualTo(QuarantineStatus.QUARANTINED);
    }

    @Test
    void aTrialThatIsAnsweredClearsThePartAtAllRouters() {
        crashes(3, "bad");
        Quarantine second = quarantine(new ArrayList<>(), new ArrayList<>());
        reports.forEach(report -> second.merge(report, "first", NOW + 3 * INTERVAL));
        answered(NOW + 11 * MINUTE, "bad");
        SuspectReport last = reports.get(reports.size() - 1);
        assertThat(second.merge(last, "first", NOW + 11 * MINUTE).cleared()).hasSize(1);
        assertThat(second.decide(features(OWN, "bad", "last"), SERVICE, NOW + 11 * MINUTE)
                        .status())
                .isEqualTo(QuarantineStatus.CLEAR);
        assertThat(calls).contains("released");
    }

    @Test
    void aRouterThatKnowsAPartToBeHarmlessDoesNotSuspectItAndTellsTheOthers() {
        List<SuspectReport> told = new ArrayList<>();
        Quarantine informed = quarantine(new ArrayList<>(), told);
        informed.endpointVersions(hash -> V1);
        informed.responseBegan(features(OWN, "a", "last").parts(), SERVICE, V1, NOW);
        crash(1, NOW, "a", "bad");
        SuspectReport news = informed.merge(reports.get(0), "first", NOW);
        assertThat(news.suspects()).hasSize(2);
        assertThat(told).hasSize(1);
        quarantine.merge(told.get(0), "informed", NOW);
        assertThat(status(NOW, "a")).isEqualTo(QuarantineStatus.CLEAR);
        assertThat(status(NOW, "bad")).isEqualTo(QuarantineStatus.SUSPECTED);
    }

    /** Guards against a report without crashes, such as a malformed one, that clears what it names at all routers. */
    @Test
    void aReportWithoutCrashesClearsNothing() {
        crashes(3, "bad");
        reports.clear();
        List<Suspect> empty = quarantine.all(NOW).suspects().stream()
                .map(suspect -> new Suspect(suspect.cause(), List.of(), Suspect.NEVER_TRIED))
                .toList();
        quarantine.merge(new SuspectReport(empty, List.of()), "other", NOW + 3 * INTERVAL);
        assertThat(reports).isEmpty();
        assertThat(status(NOW + 3 * INTERVAL, "bad")).isEqualTo(QuarantineStatus.QUARANTINED);
    }

    @Test
    void aPartRestoredFromTheStoreIsQuarantined() {
        crashes(3, "bad");
        Quarantine restarted = quarantine(new ArrayList<>(), new ArrayList<>());
        restarted.mergeStored(
                quarantine.all(NOW + 3 * INTERVAL).suspects().stream()
                        .map(suspect ->
                                new Suspect(suspect.cause().digests().cause(), suspect.crashes(), Suspect.NEVER_TRIED))
                        .toList(),
                NOW);
        assertThat(restarted.decide(features(OWN, "bad", "last"), SERVICE, NOW).status())
                .isEqualTo(QuarantineStatus.QUARANTINED);
    }

    /** A request that crashes its endpoints by itself must not have others refused that share its parts. */
    @Test
    void aRequestThatCrashesEndpointsDoesNotQuarantineItsParts() {
        RequestFeatures poison = features(OWN, "rare", "last");
        for (int end = 0; end < 4; end++) {
            crash(poison, end, NOW + end * INTERVAL);
        }
        assertThat(decide(poison, NOW + 4 * INTERVAL)).isEqualTo(QuarantineStatus.QUARANTINED);
        assertThat(status(NOW + 4 * INTERVAL, "rare", "last")).isEqualTo(QuarantineStatus.SUSPECTED);
    }

    /** Callers that poll send equal requests, some of which are in progress wherever the part crashes an endpoint. */
    @Test
    void aHarmlessRequestInProgressAtCrashesOfAPartIsNotRefused() {
        answered(NOW, "a");
        RequestFeatures polling = features(OWN, "a", "last");
        for (int end = 0; end < 4; end++) {
            long nowMillis = NOW + end * INTERVAL;
            RequestFeatures crashing = features(OWN, "a", "bad", "last");
            List<InProgressRequest> both = List.of(
                    new InProgressRequest(polling.request(), SOON, polling.parts()),
                    new InProgressRequest(crashing.request(), SOON, crashing.parts()));
            quarantine.endpointCrashed(SERVICE, end, both, nowMillis, nowMillis);
        }
        assertThat(decide(polling, NOW + 4 * INTERVAL).admitted()).isTrue();
        assertThat(status(NOW + 4 * INTERVAL, "a", "bad")).isEqualTo(QuarantineStatus.QUARANTINED);
    }

    @ParameterizedTest
    @ValueSource(ints = {300, 1_000})
    void ofALongPromptTheLastSharedPartsAreConsidered(int count) {
        String[] parts =
                IntStream.range(0, count).mapToObj(number -> "p" + number).toArray(String[]::new);
        for (int end = 0; end < 3; end++) {
            crash(end, NOW + end * INTERVAL, parts);
        }
        assertThat(features(OWN, parts).parts()).hasSize(PromptPartFingerprint.MAX_PARTS_OF_REQUEST);
        assertThat(status(NOW + 3 * INTERVAL, parts)).isEqualTo(QuarantineStatus.QUARANTINED);
        assertThat(reports.get(0).suspects()).hasSize(1 + SuspectCollector.MAX_SUSPECTS_OF_CRASH);
    }

    @Test
    void manyHarmlessPartsOfOneWorkspaceDisplaceNoneOfAnother() {
        HarmlessParts parts = new HarmlessParts();
        parts.add(new PromptPartFingerprint(1, 1), V1);
        for (int part = 0; part < 100_000; part++) {
            parts.add(new PromptPartFingerprint(2 + part % 40, part), V1);
        }
        assertThat(parts.contains(new PromptPartFingerprint(1, 1), V1)).isTrue();
        assertThat(parts.size()).isEqualTo(HarmlessParts.MAX_PARTS);
    }

    /** Crashes endpoints one after the other, each while a request with these parts and a last one is in progress. */
    private void crashes(int count, String... parts) {
        for (int end = 0; end < count; end++) {
            crash(end, NOW + end * INTERVAL, parts);
        }
    }

    private void crash(long endpoint, long nowMillis, String... parts) {
        crash(features(OWN, withLast(parts)), endpoint, nowMillis);
    }

    private void crash(RequestFeatures request, long endpoint, long nowMillis) {
        InProgressRequest inProgress = new InProgressRequest(request.request(), SOON, request.parts());
        quarantine.endpointCrashed(SERVICE, endpoint, List.of(inProgress), nowMillis, nowMillis);
    }

    private void answered(long nowMillis, String... parts) {
        answeredBy(V1, nowMillis, parts);
    }

    private void answeredBy(SoftwareVersion by, long nowMillis, String... parts) {
        quarantine.responseBegan(features(OWN, withLast(parts)).parts(), SERVICE, by, nowMillis);
    }

    private QuarantineStatus status(long nowMillis, String... parts) {
        return status(OWN, nowMillis, parts);
    }

    private QuarantineStatus status(String workspace, long nowMillis, String... parts) {
        return decide(features(workspace, withLast(parts)), nowMillis);
    }

    private QuarantineStatus decide(RequestFeatures request, long nowMillis) {
        return quarantine.decide(request, SERVICE, nowMillis).status();
    }

    private static String[] withLast(String... parts) {
        return Stream.concat(Stream.of(parts), Stream.of("last")).toArray(String[]::new);
    }

    /** Returns the features of a request that equals no other. */
    private RequestFeatures features(String workspace, String... parts) {
        long digest = workspace.hashCode();
        PromptDescription prompt = new PromptDescription(
                "model",
                0,
                0,
                Stream.of(parts).map(part -> new PromptPart(part, 100)).toList());
        return new RequestFeatures(
                new RequestFingerprint(digest, 7, requests++),
                PromptPartFingerprint.sharedParts(digest, SERVICE, prompt));
    }

    private static Quarantine quarantine(List<String> calls, List<SuspectReport> reports) {
        Quarantine created = new Quarantine(new QuarantineListener() {
            @Override
            public void quarantined(CrashCause cause, int crashes, String origin) {
                calls.add("quarantined after " + crashes);
            }

            @Override
            public void tried(CrashCause cause, int crashes) {
                calls.add("tried after " + crashes);
            }

            @Override
            public void cleared(CrashCause cause, int crashes) {
                calls.add("cleared after " + crashes);
            }
        });
        created.setSuspectListener(new SuspectListener() {
            @Override
            public void found(SuspectReport news) {
                reports.add(news);
            }

            @Override
            public void quarantined(Suspect suspect) {
                calls.add("kept with " + suspect.crashes().size());
            }

            @Override
            public void released(CrashCause cause) {
                calls.add("released");
            }
        });
        return created;
    }
}
