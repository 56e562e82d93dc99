package org.radishpass.routing.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Checks on what grounds a request is held to end its endpoints, for how long, and how that is unlearnt. */
final class QuarantineTest {
    private static final String SERVICE = "chat";
    private static final long NOW = 1_000_000;
    private static final long MINUTE = TimeUnit.MINUTES.toMillis(1);
    private static final long SOON = 100;
    private static final long LATE = 3_000;
    private static final RequestFingerprint POISON = request(1, 1);
    private static final RequestFingerprint INNOCENT = request(1, 2);

    private final List<String> heard = new ArrayList<>();
    private final List<SuspectReport> told = new ArrayList<>();
    private final Quarantine quarantine = quarantine(heard, told);

    @Test
    void oneEndIsNoProof() {
        quarantine.ended(SERVICE, 1, List.of(new AtWork(POISON, SOON)), NOW);
        assertThat(quarantine.standing(POISON, SERVICE, NOW)).isEqualTo(Standing.SUSPECTED);
        assertThat(quarantine.standing(INNOCENT, SERVICE, NOW)).isEqualTo(Standing.CLEAR);
    }

    @Test
    void twoEndsSoonAfterItWasSentAre() {
        quarantine.ended(SERVICE, 1, List.of(new AtWork(POISON, SOON), new AtWork(INNOCENT, SOON)), NOW);
        quarantine.ended(SERVICE, 2, List.of(new AtWork(POISON, SOON)), NOW + 900);
        assertThat(quarantine.standing(POISON, SERVICE, NOW + 901)).isEqualTo(Standing.QUARANTINED);
        assertThat(quarantine.standing(INNOCENT, SERVICE, NOW + 901)).isEqualTo(Standing.SUSPECTED);
        assertThat(heard)
                .containsExactly("kept 1 with 2", "quarantined 1 after 2 by this router")
                .inOrder();
    }

    @Test
    void theSameEndToldTwiceIsOneEnd() {
        quarantine.ended(SERVICE, 1, List.of(new AtWork(POISON, SOON)), NOW);
        quarantine.ended(SERVICE, 1, List.of(new AtWork(POISON, SOON)), NOW + 5);
        quarantine.told(told.get(0).aged(1_000), "other", NOW + 1_000);
        assertThat(quarantine.standing(POISON, SERVICE, NOW + 1_000)).isEqualTo(Standing.SUSPECTED);
        assertThat(told).hasSize(1);
    }

    @Test
    void endsLongAfterItWasSentNeedAThird() {
        quarantine.ended(SERVICE, 1, List.of(new AtWork(POISON, LATE)), NOW);
        quarantine.ended(SERVICE, 2, List.of(new AtWork(POISON, LATE)), NOW + 4_000);
        assertThat(quarantine.standing(POISON, SERVICE, NOW + 4_001)).isEqualTo(Standing.SUSPECTED);
        quarantine.ended(SERVICE, 3, List.of(new AtWork(POISON, LATE)), NOW + 8_000);
        assertThat(quarantine.standing(POISON, SERVICE, NOW + 8_001)).isEqualTo(Standing.QUARANTINED);
    }

    /** Callers that poll send equal requests all the time: many are at work when a rack fails, and none of them is the cause. */
    @Test
    void endsAtTheSameMomentAreOne() {
        for (int endpoint = 0; endpoint < 8; endpoint++) {
            quarantine.ended(SERVICE, endpoint, List.of(new AtWork(INNOCENT, SOON)), NOW + endpoint);
        }
        assertThat(quarantine.standing(INNOCENT, SERVICE, NOW + 10)).isEqualTo(Standing.SUSPECTED);
    }

    @Test
    void howManyAreHeldIsCountedWhenTidied() {
        endTwice();
        quarantine.tidy(NOW + 1_000);
        assertThat(quarantine.held()).isEqualTo(1);
    }

    @Test
    void twoRequestsThatMetTheSameEndsAreNotHeldUntilTheyCanBeToldApart() {
        List<AtWork> both = List.of(new AtWork(POISON, SOON), new AtWork(INNOCENT, SOON));
        quarantine.ended(SERVICE, 1, both, NOW);
        quarantine.ended(SERVICE, 2, both, NOW + 900);
        assertThat(quarantine.standing(POISON, SERVICE, NOW + 901)).isEqualTo(Standing.SUSPECTED);

        quarantine.answered(INNOCENT, SERVICE, NOW);
        assertThat(quarantine.standing(POISON, SERVICE, NOW + 902)).isEqualTo(Standing.QUARANTINED);
        assertThat(quarantine.standing(INNOCENT, SERVICE, NOW + 902)).isEqualTo(Standing.CLEAR);
    }

    @Test
    void whatIsAnsweredIsClearedAtOnceAndOthersAreTold() {
        quarantine.ended(SERVICE, 1, List.of(new AtWork(POISON, SOON)), NOW);
        quarantine.answered(POISON, SERVICE, NOW);
        quarantine.answered(INNOCENT, SERVICE, NOW);
        assertThat(quarantine.standing(POISON, SERVICE, NOW)).isEqualTo(Standing.CLEAR);
        assertThat(told.get(told.size() - 1).cleared()).containsExactly(POISON);
        assertThat(told).hasSize(2);
    }

    @Test
    void afterAPauseOneTryIsMadeAndOthersWaitForWhatBecomesOfIt() {
        endTwice();
        long later = NOW + SOON + MINUTE + 1;
        assertThat(quarantine.standing(POISON, SERVICE, later)).isEqualTo(Standing.ON_TRIAL);
        quarantine.sent(POISON, later);
        assertThat(quarantine.standing(POISON, SERVICE, later + 1)).isEqualTo(Standing.QUARANTINED);

        Quarantine other = quarantine(new ArrayList<>(), new ArrayList<>());
        other.told(told.get(told.size() - 1), "first", later + 20);
        assertThat(other.standing(POISON, SERVICE, later + 21)).isEqualTo(Standing.QUARANTINED);
        assertThat(other.standing(POISON, SERVICE, later + MINUTE)).isEqualTo(Standing.ON_TRIAL);
    }

    @Test
    void aTryThatEndsAnotherEndpointMakesThePauseLonger() {
        endTwice();
        long later = NOW + SOON + MINUTE + 1;
        quarantine.sent(POISON, later);
        quarantine.ended(SERVICE, 3, List.of(new AtWork(POISON, SOON)), later + 100);
        assertThat(quarantine.standing(POISON, SERVICE, later + 9 * MINUTE)).isEqualTo(Standing.QUARANTINED);
        assertThat(quarantine.standing(POISON, SERVICE, later + 11 * MINUTE)).isEqualTo(Standing.ON_TRIAL);
    }

    @Test
    void aTryThatIsAnsweredClearsIt() {
        endTwice();
        quarantine.sent(POISON, NOW + SOON + MINUTE + 1);
        quarantine.answered(POISON, SERVICE, NOW);
        assertThat(quarantine.standing(POISON, SERVICE, NOW + SOON + MINUTE + 2))
                .isEqualTo(Standing.CLEAR);
        assertThat(heard)
                .containsExactly("kept 1 with 2", "tried 1 after 2", "released 1")
                .inOrder();
    }

    @Test
    void whatWasRefusedAndThenAnsweredElsewhereIsClearAndItsRowIsRemoved() {
        endTwice();
        assertThat(quarantine.standing(POISON, SERVICE, NOW + 200).admitted()).isFalse();
        quarantine.told(new SuspectReport(List.of(), List.of(POISON)), "other", NOW + 300);
        assertThat(quarantine.standing(POISON, SERVICE, NOW + 301)).isEqualTo(Standing.CLEAR);
        assertThat(heard)
                .containsExactly(
                        "kept 1 with 2", "quarantined 1 after 2 by this router", "cleared 1 after 2", "released 1")
                .inOrder();
    }

    @Test
    void whatTheStoreHasKeptHoldsAndItsRowIsRemovedOnceItProvesHarmless() {
        List<Sighting> ends = List.of(new Sighting(1, 5_000, SOON), new Sighting(2, 4_000, SOON));
        quarantine.restored(List.of(new Suspect(POISON, ends, Suspect.NEVER_TRIED)), NOW);
        assertThat(quarantine.standing(POISON, SERVICE, NOW)).isEqualTo(Standing.QUARANTINED);
        assertThat(quarantine.standing(POISON, SERVICE, NOW + MINUTE)).isEqualTo(Standing.ON_TRIAL);
        quarantine.answered(POISON, SERVICE, NOW + MINUTE);
        assertThat(heard).contains("released 1");
    }

    /** On a service in trouble two ends in a row are met by accident; more are asked for, but never more than five. */
    @Test
    void whereEndpointsOftenEndMoreEndsAreNeeded() {
        for (int body = 0; body < 200; body++) {
            quarantine.ended(SERVICE, 1_000 + body, List.of(new AtWork(request(2, body), SOON)), NOW);
            quarantine.answered(request(3, body), SERVICE, NOW);
        }
        for (int end = 0; end < 4; end++) {
            quarantine.ended(SERVICE, end, List.of(new AtWork(POISON, SOON)), NOW + 500L * end);
        }
        assertThat(quarantine.standing(POISON, SERVICE, NOW + 2_000)).isEqualTo(Standing.SUSPECTED);
        quarantine.ended(SERVICE, 5, List.of(new AtWork(POISON, SOON)), NOW + 2_500);
        assertThat(quarantine.standing(POISON, SERVICE, NOW + 2_501)).isEqualTo(Standing.QUARANTINED);
        assertThat(quarantine.standing(POISON, "other service", NOW + 2_501)).isEqualTo(Standing.QUARANTINED);
    }

    @Test
    void whatIsBelievedHasAnEnd() {
        quarantine.ended(SERVICE, 1, List.of(new AtWork(INNOCENT, SOON)), NOW);
        endTwice();
        quarantine.tidy(NOW + 59 * MINUTE);
        assertThat(quarantine.all(NOW).suspects()).hasSize(2);
        quarantine.tidy(NOW + 63 * MINUTE);
        assertThat(quarantine.all(NOW).suspects()).isEmpty();
    }

    @Test
    void endsSeenByDifferentRoutersAddUp() {
        Quarantine other = quarantine(heard, new ArrayList<>());
        other.ended(SERVICE, 2, List.of(new AtWork(POISON, SOON)), NOW + 900);
        other.told(quarantineThatSawAnEnd().aged(950), "first", NOW + 950);
        assertThat(other.standing(POISON, SERVICE, NOW + 951)).isEqualTo(Standing.QUARANTINED);
        assertThat(heard)
                .containsExactly("kept 1 with 2", "quarantined 1 after 2 by first")
                .inOrder();
    }

    @Test
    void aCallerWithManyRequestsDisplacesNobodyElses() {
        RequestFingerprint others = request(2, 1);
        quarantine.ended(SERVICE, 1, List.of(new AtWork(others, SOON)), NOW);
        for (int body = 0; body < 10 * Quarantine.MOST_SUSPECTS; body++) {
            quarantine.ended(SERVICE, 100 + body, List.of(new AtWork(request(1, 10 + body), SOON)), NOW + body);
        }
        assertThat(quarantine.standing(others, SERVICE, NOW)).isEqualTo(Standing.SUSPECTED);
        assertThat(quarantine.all(NOW).suspects()).hasSize(Quarantine.MOST_OF_WORKSPACE + 1);
    }

    @Test
    void whatHasMetMoreEndsIsKeptLonger() {
        endTwice();
        for (int body = 0; body < 2 * Quarantine.MOST_OF_WORKSPACE; body++) {
            quarantine.ended(
                    "other service", 100 + body, List.of(new AtWork(request(1, 10 + body), SOON)), NOW + 10 + body);
        }
        assertThat(quarantine.standing(POISON, SERVICE, NOW + 5_000)).isEqualTo(Standing.QUARANTINED);
    }

    @Test
    void manyWorkspacesTogetherStayWithinTheBound() {
        for (int workspace = 0; workspace < 2 * Quarantine.MOST_SUSPECTS; workspace++) {
            quarantine.ended(SERVICE, workspace, List.of(new AtWork(request(workspace, 1), SOON)), NOW);
        }
        assertThat(quarantine.all(NOW).suspects()).hasSize(Quarantine.MOST_SUSPECTS);
    }

    @Test
    void ofOneEndOnlyTheYoungestAreSuspected() {
        List<AtWork> many = new ArrayList<>();
        for (int body = 0; body < 100; body++) {
            many.add(new AtWork(request(1, body), 10L * (100 - body)));
        }
        quarantine.ended(SERVICE, 1, many, NOW);
        assertThat(quarantine.all(NOW).suspects()).hasSize(Quarantine.MOST_OF_END);
        assertThat(quarantine.standing(request(1, 99), SERVICE, NOW)).isEqualTo(Standing.SUSPECTED);
    }

    private void endTwice() {
        quarantine.ended(SERVICE, 1, List.of(new AtWork(POISON, SOON)), NOW);
        quarantine.ended(SERVICE, 2, List.of(new AtWork(POISON, SOON)), NOW + SOON);
    }

    private static SuspectReport quarantineThatSawAnEnd() {
        List<SuspectReport> told = new ArrayList<>();
        quarantine(new ArrayList<>(), told).ended(SERVICE, 1, List.of(new AtWork(POISON, SOON)), NOW);
        return told.get(0);
    }

    private static RequestFingerprint request(long workspace, long body) {
        return new RequestFingerprint(workspace, 7, body);
    }

    private static Quarantine quarantine(List<String> heard, List<SuspectReport> told) {
        Quarantine created = new Quarantine(new Quarantine.Listener() {
            @Override
            public void quarantined(RequestFingerprint request, int ends, String origin) {
                heard.add("quarantined " + request.body() + " after " + ends + " by " + origin);
            }

            @Override
            public void tried(RequestFingerprint request, int ends) {
                heard.add("tried " + request.body() + " after " + ends);
            }

            @Override
            public void cleared(RequestFingerprint request, int ends) {
                heard.add("cleared " + request.body() + " after " + ends);
            }
        });
        created.onNews(new SuspectListener() {
            @Override
            public void found(SuspectReport news) {
                told.add(news);
            }

            @Override
            public void quarantined(Suspect suspect) {
                heard.add("kept " + suspect.request().body() + " with "
                        + suspect.ends().size());
            }

            @Override
            public void released(RequestFingerprint request) {
                heard.add("released " + request.body());
            }
        });
        return created;
    }
}
