package org.radishpass.routing.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests when a request counts as the cause of endpoint crashes, how long it is quarantined, and how it is cleared. */
final class QuarantineTest {
    private static final String SERVICE = "chat";
    private static final long NOW = 1_000_000;
    private static final long MINUTE = TimeUnit.MINUTES.toMillis(1);
    private static final long SOON = 100;
    private static final long LATE = 3_000;
    private static final RequestFingerprint POISON = request(1, 1);
    private static final RequestFingerprint HARMLESS = request(1, 2);

    private final List<String> calls = new ArrayList<>();
    private final List<SuspectReport> reports = new ArrayList<>();
    private final Quarantine quarantine = quarantine(calls, reports);

    @Test
    void oneCrashMakesARequestSuspectedOnly() {
        quarantine.endpointCrashed(SERVICE, 1, List.of(new InProgressRequest(POISON, SOON)), NOW, NOW);
        assertThat(status(quarantine, POISON, NOW)).isEqualTo(QuarantineStatus.SUSPECTED);
        assertThat(status(quarantine, HARMLESS, NOW)).isEqualTo(QuarantineStatus.CLEAR);
    }

    @Test
    void twoCrashesSoonAfterSendingQuarantineARequest() {
        quarantine.endpointCrashed(
                SERVICE,
                1,
                List.of(new InProgressRequest(POISON, SOON), new InProgressRequest(HARMLESS, SOON)),
                NOW,
                NOW);
        quarantine.endpointCrashed(SERVICE, 2, List.of(new InProgressRequest(POISON, SOON)), NOW + 900, NOW + 900);
        assertThat(status(quarantine, POISON, NOW + 901)).isEqualTo(QuarantineStatus.QUARANTINED);
        assertThat(status(quarantine, HARMLESS, NOW + 901)).isEqualTo(QuarantineStatus.SUSPECTED);
        assertThat(calls)
                .containsExactly("kept 1 with 2", "quarantined 1 after 2 by this router")
                .inOrder();
    }

    @Test
    void aCrashReportedTwiceCountsOnce() {
        quarantine.endpointCrashed(SERVICE, 1, List.of(new InProgressRequest(POISON, SOON)), NOW, NOW);
        quarantine.endpointCrashed(SERVICE, 1, List.of(new InProgressRequest(POISON, SOON)), NOW + 5, NOW + 5);
        quarantine.merge(reports.get(0).aged(1_000), "other", NOW + 1_000);
        assertThat(status(quarantine, POISON, NOW + 1_000)).isEqualTo(QuarantineStatus.SUSPECTED);
        assertThat(reports).hasSize(1);
    }

    @Test
    void crashesLongAfterSendingQuarantineARequestOnlyAtTheThird() {
        quarantine.endpointCrashed(SERVICE, 1, List.of(new InProgressRequest(POISON, LATE)), NOW, NOW);
        quarantine.endpointCrashed(SERVICE, 2, List.of(new InProgressRequest(POISON, LATE)), NOW + 4_000, NOW + 4_000);
        assertThat(status(quarantine, POISON, NOW + 4_001)).isEqualTo(QuarantineStatus.SUSPECTED);
        quarantine.endpointCrashed(SERVICE, 3, List.of(new InProgressRequest(POISON, LATE)), NOW + 8_000, NOW + 8_000);
        assertThat(status(quarantine, POISON, NOW + 8_001)).isEqualTo(QuarantineStatus.QUARANTINED);
    }

    /**
     * Polling callers send equal requests all the time: many are in progress when a rack fails, and none is the cause.
     */
    @Test
    void simultaneousCrashesCountOnce() {
        for (int endpoint = 0; endpoint < 8; endpoint++) {
            quarantine.endpointCrashed(
                    SERVICE, endpoint, List.of(new InProgressRequest(HARMLESS, SOON)), NOW + endpoint, NOW + endpoint);
        }
        assertThat(status(quarantine, HARMLESS, NOW + 10)).isEqualTo(QuarantineStatus.SUSPECTED);
    }

    @Test
    void tidyUpdatesTheNumberOfQuarantinedRequests() {
        crashTwice();
        quarantine.tidy(NOW + 1_000);
        assertThat(quarantine.causeCount(CauseKind.REQUEST)).isEqualTo(1);
    }

    @Test
    void twoRequestsWithTheSameCrashesAreNotQuarantinedUntilOneIsAnswered() {
        List<InProgressRequest> both =
                List.of(new InProgressRequest(POISON, SOON), new InProgressRequest(HARMLESS, SOON));
        quarantine.endpointCrashed(SERVICE, 1, both, NOW, NOW);
        quarantine.endpointCrashed(SERVICE, 2, both, NOW + 900, NOW + 900);
        assertThat(status(quarantine, POISON, NOW + 901)).isEqualTo(QuarantineStatus.SUSPECTED);

        quarantine.answered(HARMLESS, SERVICE, NOW);
        assertThat(status(quarantine, POISON, NOW + 902)).isEqualTo(QuarantineStatus.QUARANTINED);
        assertThat(status(quarantine, HARMLESS, NOW + 902)).isEqualTo(QuarantineStatus.CLEAR);
    }

    @Test
    void anAnsweredRequestIsClearedAtOnceAndReportedToOtherRouters() {
        quarantine.endpointCrashed(SERVICE, 1, List.of(new InProgressRequest(POISON, SOON)), NOW, NOW);
        quarantine.answered(POISON, SERVICE, NOW);
        quarantine.answered(HARMLESS, SERVICE, NOW);
        assertThat(status(quarantine, POISON, NOW)).isEqualTo(QuarantineStatus.CLEAR);
        assertThat(reports.get(reports.size() - 1).cleared()).containsExactly(POISON);
        assertThat(reports).hasSize(2);
    }

    @Test
    void afterTheQuarantineOneTrialIsMadeAndOtherRoutersWaitForItsOutcome() {
        crashTwice();
        long later = NOW + SOON + MINUTE + 1;
        assertThat(status(quarantine, POISON, later)).isEqualTo(QuarantineStatus.ON_TRIAL);
        quarantine.sent(features(POISON), later);
        assertThat(status(quarantine, POISON, later + 1)).isEqualTo(QuarantineStatus.QUARANTINED);

        Quarantine other = quarantine(new ArrayList<>(), new ArrayList<>());
        other.merge(reports.get(reports.size() - 1), "first", later + 20);
        assertThat(status(other, POISON, later + 21)).isEqualTo(QuarantineStatus.QUARANTINED);
        assertThat(status(other, POISON, later + MINUTE)).isEqualTo(QuarantineStatus.ON_TRIAL);
    }

    @Test
    void aTrialThatCrashesAnotherEndpointLengthensTheQuarantine() {
        crashTwice();
        long later = NOW + SOON + MINUTE + 1;
        quarantine.sent(features(POISON), later);
        quarantine.endpointCrashed(SERVICE, 3, List.of(new InProgressRequest(POISON, SOON)), later + 100, later + 100);
        assertThat(status(quarantine, POISON, later + 9 * MINUTE)).isEqualTo(QuarantineStatus.QUARANTINED);
        assertThat(status(quarantine, POISON, later + 11 * MINUTE)).isEqualTo(QuarantineStatus.ON_TRIAL);
    }

    @Test
    void aTrialThatIsAnsweredClearsTheRequest() {
        crashTwice();
        quarantine.sent(features(POISON), NOW + SOON + MINUTE + 1);
        quarantine.answered(POISON, SERVICE, NOW);
        assertThat(status(quarantine, POISON, NOW + SOON + MINUTE + 2)).isEqualTo(QuarantineStatus.CLEAR);
        assertThat(calls)
                .containsExactly("kept 1 with 2", "tried 1 after 2", "released 1")
                .inOrder();
    }

    @Test
    void aQuarantinedRequestAnsweredAtAnotherRouterIsClearedAndRemovedFromTheStore() {
        crashTwice();
        assertThat(status(quarantine, POISON, NOW + 200).admitted()).isFalse();
        quarantine.merge(new SuspectReport(List.of(), List.of(POISON)), "other", NOW + 300);
        assertThat(status(quarantine, POISON, NOW + 301)).isEqualTo(QuarantineStatus.CLEAR);
        assertThat(calls)
                .containsExactly(
                        "kept 1 with 2", "quarantined 1 after 2 by this router", "cleared 1 after 2", "released 1")
                .inOrder();
    }

    @Test
    void aRequestRestoredFromTheStoreIsQuarantinedAndRemovedOnceAnswered() {
        List<EndpointCrash> crashes = List.of(new EndpointCrash(1, 5_000, SOON), new EndpointCrash(2, 4_000, SOON));
        quarantine.mergeStored(List.of(new Suspect(POISON, crashes, Suspect.NEVER_TRIED)), NOW);
        assertThat(status(quarantine, POISON, NOW)).isEqualTo(QuarantineStatus.QUARANTINED);
        assertThat(status(quarantine, POISON, NOW + MINUTE)).isEqualTo(QuarantineStatus.ON_TRIAL);
        quarantine.answered(POISON, SERVICE, NOW + MINUTE);
        assertThat(calls).contains("released 1");
    }

    /**
     * If the endpoints of a service crash often, a request meets two consecutive crashes by accident. More crashes are
     * required then, but never more than five.
     */
    @Test
    void moreCrashesAreRequiredIfEndpointsCrashOften() {
        for (int body = 0; body < 200; body++) {
            quarantine.endpointCrashed(
                    SERVICE, 1_000 + body, List.of(new InProgressRequest(request(2, body), SOON)), NOW, NOW);
            quarantine.answered(request(3, body), SERVICE, NOW);
        }
        for (int end = 0; end < 4; end++) {
            quarantine.endpointCrashed(
                    SERVICE, end, List.of(new InProgressRequest(POISON, SOON)), NOW + 500L * end, NOW + 500L * end);
        }
        assertThat(status(quarantine, POISON, NOW + 2_000)).isEqualTo(QuarantineStatus.SUSPECTED);
        quarantine.endpointCrashed(SERVICE, 5, List.of(new InProgressRequest(POISON, SOON)), NOW + 2_500, NOW + 2_500);
        assertThat(status(quarantine, POISON, NOW + 2_501)).isEqualTo(QuarantineStatus.QUARANTINED);
        assertThat(quarantine
                        .decide(features(POISON), "other service", NOW + 2_501)
                        .status())
                .isEqualTo(QuarantineStatus.QUARANTINED);
    }

    @Test
    void suspectsExpire() {
        quarantine.endpointCrashed(SERVICE, 1, List.of(new InProgressRequest(HARMLESS, SOON)), NOW, NOW);
        crashTwice();
        quarantine.tidy(NOW + 59 * MINUTE);
        assertThat(quarantine.all(NOW).suspects()).hasSize(2);
        quarantine.tidy(NOW + 63 * MINUTE);
        assertThat(quarantine.all(NOW).suspects()).isEmpty();
    }

    @Test
    void crashesSeenByDifferentRoutersAreCombined() {
        Quarantine other = quarantine(calls, new ArrayList<>());
        other.endpointCrashed(SERVICE, 2, List.of(new InProgressRequest(POISON, SOON)), NOW + 900, NOW + 900);
        other.merge(reportOfOneCrash().aged(950), "first", NOW + 950);
        assertThat(status(other, POISON, NOW + 951)).isEqualTo(QuarantineStatus.QUARANTINED);
        assertThat(calls)
                .containsExactly("kept 1 with 2", "quarantined 1 after 2 by first")
                .inOrder();
    }

    @Test
    void manySuspectsOfOneWorkspaceDoNotEvictThoseOfAnother() {
        RequestFingerprint ofOtherWorkspace = request(2, 1);
        quarantine.endpointCrashed(SERVICE, 1, List.of(new InProgressRequest(ofOtherWorkspace, SOON)), NOW, NOW);
        for (int body = 0; body < 10 * SuspectRegistry.MAX_SUSPECTS; body++) {
            quarantine.endpointCrashed(
                    SERVICE,
                    100 + body,
                    List.of(new InProgressRequest(request(1, 10 + body), SOON)),
                    NOW + body,
                    NOW + body);
        }
        assertThat(status(quarantine, ofOtherWorkspace, NOW)).isEqualTo(QuarantineStatus.SUSPECTED);
        assertThat(quarantine.all(NOW).suspects()).hasSize(SuspectRegistry.MAX_SUSPECTS_OF_WORKSPACE + 1);
    }

    @Test
    void suspectsWithFewerCrashesAreEvictedFirst() {
        crashTwice();
        for (int body = 0; body < 2 * SuspectRegistry.MAX_SUSPECTS_OF_WORKSPACE; body++) {
            quarantine.endpointCrashed(
                    "other service",
                    100 + body,
                    List.of(new InProgressRequest(request(1, 10 + body), SOON)),
                    NOW + 10 + body,
                    NOW + 10 + body);
        }
        assertThat(status(quarantine, POISON, NOW + 5_000)).isEqualTo(QuarantineStatus.QUARANTINED);
    }

    @Test
    void theSuspectsOfManyWorkspacesStayWithinTheLimit() {
        for (int workspace = 0; workspace < 2 * SuspectRegistry.MAX_SUSPECTS; workspace++) {
            quarantine.endpointCrashed(
                    SERVICE, workspace, List.of(new InProgressRequest(request(workspace, 1), SOON)), NOW, NOW);
        }
        assertThat(quarantine.all(NOW).suspects()).hasSize(SuspectRegistry.MAX_SUSPECTS);
    }

    @Test
    void onlyTheRequestsSentLastBeforeACrashAreSuspected() {
        List<InProgressRequest> many = new ArrayList<>();
        for (int body = 0; body < 100; body++) {
            many.add(new InProgressRequest(request(1, body), 10L * (100 - body)));
        }
        quarantine.endpointCrashed(SERVICE, 1, many, NOW, NOW);
        assertThat(quarantine.all(NOW).suspects()).hasSize(SuspectCollector.MAX_SUSPECTS_OF_CRASH);
        assertThat(status(quarantine, request(1, 99), NOW)).isEqualTo(QuarantineStatus.SUSPECTED);
    }

    private static QuarantineStatus status(Quarantine quarantine, RequestFingerprint request, long nowMillis) {
        return quarantine.decide(features(request), SERVICE, nowMillis).status();
    }

    private static RequestFeatures features(RequestFingerprint request) {
        return new RequestFeatures(request, List.of());
    }

    private void crashTwice() {
        quarantine.endpointCrashed(SERVICE, 1, List.of(new InProgressRequest(POISON, SOON)), NOW, NOW);
        quarantine.endpointCrashed(SERVICE, 2, List.of(new InProgressRequest(POISON, SOON)), NOW + SOON, NOW + SOON);
    }

    private static SuspectReport reportOfOneCrash() {
        List<SuspectReport> reports = new ArrayList<>();
        quarantine(new ArrayList<>(), reports)
                .endpointCrashed(SERVICE, 1, List.of(new InProgressRequest(POISON, SOON)), NOW, NOW);
        return reports.get(0);
    }

    private static RequestFingerprint request(long workspace, long body) {
        return new RequestFingerprint(workspace, 7, body);
    }

    private static Quarantine quarantine(List<String> calls, List<SuspectReport> reports) {
        Quarantine created = new Quarantine(new QuarantineListener() {
            @Override
            public void quarantined(CrashCause cause, int crashes, String origin) {
                calls.add("quarantined " + cause.digests().content() + " after " + crashes + " by " + origin);
            }

            @Override
            public void tried(CrashCause cause, int crashes) {
                calls.add("tried " + cause.digests().content() + " after " + crashes);
            }

            @Override
            public void cleared(CrashCause cause, int crashes) {
                calls.add("cleared " + cause.digests().content() + " after " + crashes);
            }
        });
        created.setSuspectListener(new SuspectListener() {
            @Override
            public void found(SuspectReport news) {
                reports.add(news);
            }

            @Override
            public void quarantined(Suspect suspect) {
                calls.add("kept " + suspect.cause().digests().content() + " with "
                        + suspect.crashes().size());
            }

            @Override
            public void released(CrashCause cause) {
                calls.add("released " + cause.digests().content());
            }
        });
        return created;
    }
}
