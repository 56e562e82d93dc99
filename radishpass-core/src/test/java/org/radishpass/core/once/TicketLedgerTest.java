package org.radishpass.core.once;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.NumericChars;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

/** Checks that the request of a ticket runs at most once. */
final class TicketLedgerTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

    private final TicketLedger<String> ledger = new TicketLedger<>(3);
    private final long number = ledger.issue("w", NOW);

    @Test
    void theFirstRequestBeginsARunAndLaterOnesJoinIt() {
        assertThat(redeem("w", "hash", "one")).isInstanceOf(TicketDecision.Begin.class);
        assertThat(redeem("w", "hash", "two")).isEqualTo(new TicketDecision.Join<>("one"));
    }

    @Test
    void aTicketUsedForADifferentRequestIsRefused() {
        redeem("w", "hash", "one");

        assertThat(redeem("w", "other", "two")).isInstanceOf(TicketDecision.Reused.class);
    }

    @Test
    void aTicketOfAnotherWorkspaceCountsAsNeverIssued() {
        assertThat(redeem("x", "hash", "one")).isInstanceOf(TicketDecision.NeverIssued.class);
        assertThat(redeem("w", "hash", "two")).isInstanceOf(TicketDecision.Begin.class);
    }

    @Test
    void aRequestThatProvablyDidNotRunMayBeginAgain() {
        redeem("w", "hash", "one");
        ledger.markNotRun(number);

        assertThat(redeem("w", "hash", "two")).isInstanceOf(TicketDecision.Begin.class);
    }

    @Test
    void anExpiredTicketIsForgotten() {
        Instant later = NOW.plus(TicketLedger.TICKET_LIFETIME);

        assertThat(ledger.redeem(number, "w", "hash", "one", later)).isInstanceOf(TicketDecision.Forgotten.class);
    }

    @Test
    void anUnknownNumberCountsAsNeverIssued() {
        assertThat(ledger.redeem(number + 1, "w", "hash", "one", NOW)).isInstanceOf(TicketDecision.NeverIssued.class);
    }

    @Test
    void aWorkspaceGetsNoMoreThanItsLimitOfUnexpiredTickets() {
        ledger.issue("w", NOW);
        ledger.issue("w", NOW);

        assertThat(ledger.issue("w", NOW)).isEqualTo(-1);
        assertThat(ledger.issue("x", NOW)).isGreaterThan(0);
        assertThat(ledger.issue("w", NOW.plus(TicketLedger.TICKET_LIFETIME))).isGreaterThan(0);
    }

    @Property(tries = 200, seed = "55")
    void parsingTheTextOfATicketReturnsTheTicket(
            @ForAll @AlphaChars @StringLength(min = 1, max = 30) String router,
            @ForAll @NumericChars @StringLength(min = 1, max = 9) String incarnation,
            @ForAll @LongRange(min = 1, max = 999_999_999) long ticketNumber) {
        Ticket ticket = new Ticket(router, incarnation, ticketNumber);

        assertThat(Ticket.parse(ticket.text())).hasValue(ticket);
    }

    @Property(tries = 500, seed = "56")
    void onlyTextWithTheTicketPrefixParsesAsATicket(@ForAll String text) {
        assertThat(Ticket.parse(text).isEmpty() || text.startsWith("ticket.")).isTrue();
    }

    private TicketDecision<String> redeem(String workspace, String hash, String run) {
        return ledger.redeem(number, workspace, hash, run, NOW);
    }
}
