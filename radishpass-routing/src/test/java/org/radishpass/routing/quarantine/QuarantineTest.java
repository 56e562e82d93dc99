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
        quarantine.endpointCrashed(SERVICE, 1, List.of(new InProgressRequest(POISON, SOON)), NOW);
        assertThat(quarantine.status(POISON, SERVICE, NOW)).isEqualTo(QuarantineStatus.SUSPECTED);
        assertThat(quarantine.status(HARMLESS, SERVICE, NOW)).isEqualTo(QuarantineStatus.CLEAR);
    }

    @Test
    void twoCrashesSoonAfterSendingQuarantineARequest() {
        quarantine.endpointCrashed(
                SERVICE, 1, List.of(new InProgressRequest(POISON, SOON), new InProgressRequest(HARMLESS, SOON)), NOW);
        quarantine.endpointCrashed(SERVICE, 2, List.of(new InProgressRequest(POISON, SOON)), NOW + 900);
        assertThat(quarantine.status(POISON, SERVICE, NOW + 901)).isEqualTo(QuarantineStatus.QUARANTINED);
        assertThat(quarantine.status(HARMLESS, SERVICE, NOW + 901)).isEqualTo(QuarantineStatus.SUSPECTED);
        assertThat(calls)
                .containsExactly("kept 1 with 2", "quarantined 1 after 2 by this router")
                .inOrder();
    }

    @Test
    void aCrashReportedTwiceCountsOnce() {
        quarantine.endpointCrashed(SERVICE, 1, List.of(new InProgressRequest(POISON, SOON)), NOW);
        quarantine.endpointCrashed(SERVICE, 1, List.of(new InProgressRequest(POISON, SOON)), NOW + 5);
        quarantine.merge(reports.get(0).aged(1_000), "other", NOW + 1_000);
        assertThat(quarantine.status(POISON, SERVICE, NOW + 1_000)).isEqualTo(QuarantineStatus.SUSPECTED);
        assertThat(reports).hasSize(1);
    }

    @Test
    void crashesLongAfterSendingQuarantineARequestOnlyAtTheThird() {
        quarantine.endpointCrashed(SERVICE, 1, List.of(new InProgressRequest(POISON, LATE)), NOW);
        quarantine.endpointCrashed(SERVICE, 2, List.of(new InProgressRequest(POISON, LATE)), NOW + 4_000);
        assertThat(quarantine.status(POISON, SERVICE, NOW + 4_001)).isEqualTo(QuarantineStatus.SUSPECTED);
        quarantine.endpointCrashed(SERVICE, 3, List.of(new InProgressRequest(POISON, LATE)), NOW + 8_000);
        assertThat(quarantine.status(POISON, SERVICE, NOW + 8_001)).isEqualTo(QuarantineStatus.QUARANTINED);
    }

    /**
     * Polling callers send equal requests all the time: many are in progress when a rack fails, and none is the cause.
     */
    @Test
    void simultaneousCrashesCountOnce() {
        for (int endpoint = 0; endpoint < 8; endpoint++) {
            quarantine.endpointCrashed(
                    SERVICE, endpoint, List.of(new InProgressRequest(HARMLESS, SOON)), NOW + endpoint);
        }
        assertThat(quarantine.status(HARMLESS, SERVICE, NOW + 10)).isEqualTo(QuarantineStatus.SUSPECTED);
    }

    @Test
    void tidyUpdatesTheNumberOfQuarantinedRequests() {
        crashTwice();
        quarantine.tidy(NOW + 1_000);
        assertThat(quarantine.causeCount()).isEqualTo(1);
    }

    @Test
    void twoRequestsWithTheSameCrashesAreNotQuarantinedUntilOneIsAnswered() {
        List<InProgressRequest> both =
                List.of(new InProgressRequest(POISON, SOON), new InProgressRequest(HARMLESS, SOON));
        quarantine.endpointCrashed(SERVICE, 1, both, NOW);
        quarantine.endpointCrashed(SERVICE, 2, both, NOW + 900);
        assertThat(quarantine.status(POISON, SERVICE, NOW + 901)).isEqualTo(QuarantineStatus.SUSPECTED);

        quarantine.answered(HARMLESS, SERVICE, NOW);
        assertThat(quarantine.status(POISON, SERVICE, NOW + 902)).isEqualTo(QuarantineStatus.QUARANTINED);
        assertThat(quarantine.status(HARMLESS, SERVICE, NOW + 902)).isEqualTo(QuarantineStatus.CLEAR);
    }

    @Test
    void anAnsweredRequestIsClearedAtOnceAndReportedToOtherRouters() {
        quarantine.endpointCrashed(SERVICE, 1, List.of(new InProgressRequest(POISON, SOON)), NOW);
        quarantine.answered(POISON, SERVICE, NOW);
        quarantine.answered(HARMLESS, SERVICE, NOW);
        assertThat(quarantine.status(POISON, SERVICE, NOW)).isEqualTo(QuarantineStatus.CLEAR);
        assertThat(reports.get(reports.size() - 1).cleared()).containsExactly(POISON);
        assertThat(reports).hasSize(2);
    }

    @Test
    void afterTheQuarantineOneTrialIsMadeAndOtherRoutersWaitForItsOutcome() {
        crashTwice();
        long later = NOW + SOON + MINUTE + 1;
        assertThat(quarantine.status(POISON, SERVICE, later)).isEqualTo(QuarantineStatus.ON_TRIAL);
        quarantine.sent(POISON, later);
        assertThat(quarantine.status(POISON, SERVICE, later + 1)).isEqualTo(QuarantineStatus.QUARANTINED);

        Quarantine other = quarantine(new ArrayList<>(), new ArrayList<>());
        other.merge(reports.get(reports.size() - 1), "first", later + 20);
        assertThat(other.status(POISON, SERVICE, later + 21)).isEqualTo(QuarantineStatus.QUARANTINED);
        assertThat(other.status(POISON, SERVICE, later + MINUTE)).isEqualTo(QuarantineStatus.ON_TRIAL);
    }

    @Test
    void aTrialThatCrashesAnotherEndpointLengthensTheQuarantine() {
        crashTwice();
        long later = NOW + SOON + MINUTE + 1;
        quarantine.sent(POISON, later);
        quarantine.endpointCrashed(SERVICE, 3, List.of(new InProgressRequest(POISON, SOON)), later + 100);
        assertThat(quarantine.status(POISON, SERVICE, later + 9 * MINUTE)).isEqualTo(QuarantineStatus.QUARANTINED);
        assertThat(quarantine.status(POISON, SERVICE, later + 11 * MINUTE)).isEqualTo(QuarantineStatus.ON_TRIAL);
    }

    @Test
    void aTrialThatIsAnsweredClearsTheRequest() {
        crashTwice();
        quarantine.sent(POISON, NOW + SOON + MINUTE + 1);
        quarantine.answered(POISON, SERVICE, NOW);
        assertThat(quarantine.status(POISON, SERVICE, NOW + SOON + MINUTE + 2)).isEqualTo(QuarantineStatus.CLEAR);
        assertThat(calls)
                .containsExactly("kept 1 with 2", "tried 1 after 2", "released 1")
                .inOrder();
    }

    @Test
    void aQuarantinedRequestAnsweredAtAnotherRouterIsClearedAndRemovedFromTheStore() {
        crashTwice();
        assertThat(quarantine.status(POISON, SERVICE, NOW + 200).admitted()).isFalse();
        quarantine.merge(new SuspectReport(List.of(), List.of(POISON)), "other", NOW + 300);
        assertThat(quarantine.status(POISON, SERVICE, NOW + 301)).isEqualTo(QuarantineStatus.CLEAR);
        assertThat(calls)
                .containsExactly(
                        "kept 1 with 2", "quarantined 1 after 2 by this router", "cleared 1 after 2", "released 1")
                .inOrder();
    }

    @Test
    void aRequestRestoredFromTheStoreIsQuarantinedAndRemovedOnceAnswered() {
        List<EndpointCrash> crashes = List.of(new EndpointCrash(1, 5_000, SOON), new EndpointCrash(2, 4_000, SOON));
        quarantine.mergeStored(List.of(new Suspect(POISON, crashes, Suspect.NEVER_TRIED)), NOW);
        assertThat(quarantine.status(POISON, SERVICE, NOW)).isEqualTo(QuarantineStatus.QUARANTINED);
        assertThat(quarantine.status(POISON, SERVICE, NOW + MINUTE)).isEqualTo(QuarantineStatus.ON_TRIAL);
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
                    SERVICE, 1_000 + body, List.of(new InProgressRequest(request(2, body), SOON)), NOW);
            quarantine.answered(request(3, body), SERVICE, NOW);
        }
        for (int end = 0; end < 4; end++) {
            quarantine.endpointCrashed(SERVICE, end, List.of(new InProgressRequest(POISON, SOON)), NOW + 500L * end);
        }
        assertThat(quarantine.status(POISON, SERVICE, NOW + 2_000)).isEqualTo(QuarantineStatus.SUSPECTED);
        quarantine.endpointCrashed(SERVICE, 5, List.of(new InProgressRequest(POISON, SOON)), NOW + 2_500);
        assertThat(quarantine.status(POISON, SERVICE, NOW + 2_501)).isEqualTo(QuarantineStatus.QUARANTINED);
        assertThat(quarantine.status(POISON, "other service", NOW + 2_501)).isEqualTo(QuarantineStatus.QUARANTINED);
    }

    @Test
    void suspectsExpire() {
        quarantine.endpointCrashed(SERVICE, 1, List.of(new InProgressRequest(HARMLESS, SOON)), NOW);
        crashTwice();
        quarantine.tidy(NOW + 59 * MINUTE);
        assertThat(quarantine.all(NOW).suspects()).hasSize(2);
        quarantine.tidy(NOW + 63 * MINUTE);
        assertThat(quarantine.all(NOW).suspects()).isEmpty();
    }

    @Test
    void crashesSeenByDifferentRoutersAreCombined() {
        Quarantine other = quarantine(calls, new ArrayList<>());
        other.endpointCrashed(SERVICE, 2, List.of(new InProgressRequest(POISON, SOON)), NOW + 900);
        other.merge(reportOfOneCrash().aged(950), "first", NOW + 950);
        assertThat(other.status(POISON, SERVICE, NOW + 951)).isEqualTo(QuarantineStatus.QUARANTINED);
        assertThat(calls)
                .containsExactly("kept 1 with 2", "quarantined 1 after 2 by first")
                .inOrder();
    }

    @Test
    void manySuspectsOfOneWorkspaceDoNotEvictThoseOfAnother() {
        RequestFingerprint ofOtherWorkspace = request(2, 1);
        quarantine.endpointCrashed(SERVICE, 1, List.of(new InProgressRequest(ofOtherWorkspace, SOON)), NOW);
        for (int body = 0; body < 10 * SuspectRegistry.MAX_SUSPECTS; body++) {
            quarantine.endpointCrashed(
                    SERVICE, 100 + body, List.of(new InProgressRequest(request(1, 10 + body), SOON)), NOW + body);
        }
        assertThat(quarantine.status(ofOtherWorkspace, SERVICE, NOW)).isEqualTo(QuarantineStatus.SUSPECTED);
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
                    NOW + 10 + body);
        }
        assertThat(quarantine.status(POISON, SERVICE, NOW + 5_000)).isEqualTo(QuarantineStatus.QUARANTINED);
    }

    @Test
    void theSuspectsOfManyWorkspacesStayWithinTheLimit() {
        for (int workspace = 0; workspace < 2 * SuspectRegistry.MAX_SUSPECTS; workspace++) {
            quarantine.endpointCrashed(
                    SERVICE, workspace, List.of(new InProgressRequest(request(workspace, 1), SOON)), NOW);
        }
        assertThat(quarantine.all(NOW).suspects()).hasSize(SuspectRegistry.MAX_SUSPECTS);
    }

    @Test
    void onlyTheRequestsSentLastBeforeACrashAreSuspected() {
        List<InProgressRequest> many = new ArrayList<>();
        for (int body = 0; body < 100; body++) {
            many.add(new InProgressRequest(request(1, body), 10L * (100 - body)));
        }
        quarantine.endpointCrashed(SERVICE, 1, many, NOW);
        assertThat(quarantine.all(NOW).suspects()).hasSize(Quarantine.MAX_SUSPECTS_OF_CRASH);
        assertThat(quarantine.status(request(1, 99), SERVICE, NOW)).isEqualTo(QuarantineStatus.SUSPECTED);
    }

    private void crashTwice() {
        quarantine.endpointCrashed(SERVICE, 1, List.of(new InProgressRequest(POISON, SOON)), NOW);
        quarantine.endpointCrashed(SERVICE, 2, List.of(new InProgressRequest(POISON, SOON)), NOW + SOON);
    }

    private static SuspectReport reportOfOneCrash() {
        List<SuspectReport> reports = new ArrayList<>();
        quarantine(new ArrayList<>(), reports)
                .endpointCrashed(SERVICE, 1, List.of(new InProgressRequest(POISON, SOON)), NOW);
        return reports.get(0);
    }

    private static RequestFingerprint request(long workspace, long body) {
        return new RequestFingerprint(workspace, 7, body);
    }

    private static Quarantine quarantine(List<String> calls, List<SuspectReport> reports) {
        Quarantine created = new Quarantine(new Quarantine.Listener() {
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
