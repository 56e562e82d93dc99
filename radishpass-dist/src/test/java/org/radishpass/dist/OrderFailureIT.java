package org.radishpass.dist;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.radishpass.standin.platform.TableFaults;
import org.radishpass.standin.service.ServiceFaults;

/** Injects failures while orders are placed, and checks that each order runs at most once. */
final class OrderFailureIT {
    @TempDir
    private Path directory;

    private TestFleet fleet;
    private TestCaller caller;

    @BeforeEach
    void start() throws IOException {
        fleet = new TestFleet(directory, 2);
        caller = new TestCaller(fleet);
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void anOrderRepeatedThroughAnotherRouterRunsOnceAndGetsTheSameAnswer() {
        Reply first = await(caller.order(fleet.address(0), "twice", "key-twice"));
        Reply second = await(caller.order(fleet.address(1), "twice", "key-twice"));

        assertThat(first.status()).isEqualTo(201);
        assertThat(second).isEqualTo(first);
        assertThat(runCount("twice")).isEqualTo(1);
    }

    @Test
    void concurrentRequestsForOneOrderThroughTwoRoutersRunOnce() {
        List<CompletableFuture<Reply>> replies = new java.util.ArrayList<>();
        for (int i = 0; i < 10; i++) {
            replies.add(caller.order(fleet.address(i % 2), "race", "key-race").toFuture());
        }
        replies.forEach(reply -> assertThat(reply.join().status()).isAnyOf(201, 409));

        assertThat(runCount("race")).isEqualTo(1);
    }

    @Test
    void aKeyUsedForAnotherOrderIsRefused() {
        await(caller.order(fleet.address(0), "one", "key-shared"));

        Reply reply = await(caller.order(fleet.address(1), "other", "key-shared"));

        assertThat(reply.code()).isEqualTo("KEY_REUSED");
        assertThat(runCount("other")).isEqualTo(0);
    }

    @Test
    void anOrderWhoseAnswerIsLostIsReportedAsMayHaveRunAndNotRunAgain() {
        injectServiceFaults(new ServiceFaults(1, 0, 0, false, false));

        Reply first = await(caller.order(fleet.address(0), "lost", "key-lost"));
        Reply again = await(caller.order(fleet.address(1), "lost", "key-lost"));

        assertThat(first.verdict()).isEqualTo("MAY_HAVE_RUN");
        assertThat(again.code()).isEqualTo("IN_PROGRESS");
        assertThat(again.verdict()).isEqualTo("MAY_HAVE_RUN");
        assertThat(runCount("lost")).isEqualTo(1);
    }

    @Test
    void anOrderThatEveryServiceDeclinesMayBeSentAgain() {
        injectServiceFaults(new ServiceFaults(0, 0, 0, false, true));
        Reply declined = await(caller.order(fleet.address(0), "declined", "key-declined"));
        assertThat(declined.verdict()).isEqualTo("NOT_RUN");
        assertThat(runCount("declined")).isEqualTo(0);

        injectServiceFaults(ServiceFaults.NONE);

        assertThat(await(caller.order(fleet.address(1), "declined", "key-declined"))
                        .status())
                .isEqualTo(201);
        assertThat(runCount("declined")).isEqualTo(1);
    }

    @Test
    void lostStoreAnswersNeverMakeAnOrderRunTwice() {
        fleet.deployment().table().faults(new TableFaults(false, 0, 0.7));
        for (int i = 0; i < 6; i++) {
            String number = "store-" + i;
            await(caller.order(fleet.address(0), number, "key-" + number));
            await(caller.order(fleet.address(1), number, "key-" + number));

            assertThat(runCount(number)).isAtMost(1);
        }
    }

    @Test
    void withoutTheStoreChatsAreAnsweredAndOrdersAreRefusedAsNotRun() {
        fleet.deployment().table().faults(new TableFaults(true, 0, 0));

        Reply chat = await(caller.chat(fleet.address(0), TestCaller.chatBody("outage", 3, true)));
        Reply order = await(caller.order(fleet.address(0), "outage", "key-outage"));

        assertThat(TestCaller.streamedText(chat.body())).isEqualTo(TestCaller.expectedText("outage", 3));
        assertThat(order.code()).isEqualTo("STORE_UNAVAILABLE");
        assertThat(order.verdict()).isEqualTo("NOT_RUN");
        assertThat(runCount("outage")).isEqualTo(0);
    }

    @Test
    void anOrderWithATicketRunsOnceWithoutTheStore() {
        fleet.deployment().table().faults(new TableFaults(true, 0, 0));
        String ticket = issueTicket(0);

        Reply first = await(caller.order(fleet.address(1), "ticket", ticket));
        Reply second = await(caller.order(fleet.address(0), "ticket", ticket));

        assertThat(first.status()).isEqualTo(201);
        assertThat(second).isEqualTo(first);
        assertThat(runCount("ticket")).isEqualTo(1);
    }

    @Test
    void anOrderWhoseTicketIsLostWithItsRouterIsReportedAsMayHaveRun() throws InterruptedException {
        String ticket = issueTicket(0);
        fleet.router(0).stop();

        Reply reply = await(caller.order(fleet.address(1), "gone", ticket));

        assertThat(reply.code()).isEqualTo("TICKET_LOST");
        assertThat(reply.verdict()).isEqualTo("MAY_HAVE_RUN");
        assertThat(runCount("gone")).isEqualTo(0);
    }

    @Test
    void anOrderWithAForgedOrForeignTicketDoesNotRun() {
        String ticket = issueTicket(0);
        String forged = ticket.substring(0, ticket.lastIndexOf('.')) + ".999";

        Reply unknown = await(caller.order(fleet.address(0), "forged", forged));
        Reply other = await(caller.post(
                fleet.address(0) + "/services/booking/orders", "universities", "{\"number\":\"forged\"}", ticket));

        assertThat(unknown.verdict()).isEqualTo("NOT_RUN");
        assertThat(other.verdict()).isEqualTo("NOT_RUN");
        assertThat(runCount("forged")).isEqualTo(0);
    }

    private String issueTicket(int router) {
        Reply reply = await(caller.post(fleet.address(router) + "/v1/tickets", "foreign-operators", "", null));
        return org.radishpass.runtime.http.HttpJson.parse(
                        reply.body().getBytes(java.nio.charset.StandardCharsets.UTF_8))
                .path("ticket")
                .asText();
    }

    private int runCount(String number) {
        return fleet.deployment().services().stream()
                .mapToInt(service -> service.runs().getOrDefault(number, 0))
                .sum();
    }

    private void injectServiceFaults(ServiceFaults faults) {
        fleet.deployment().services().forEach(service -> service.faults(faults));
    }

    private static Reply await(reactor.core.publisher.Mono<Reply> reply) {
        return reply.blockOptional().orElseThrow();
    }
}
