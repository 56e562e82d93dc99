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

/** Brings failures about around orders, which run at most once whatever fails. */
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
    void anOrderThatIsAskedForAgainThroughAnotherRouterRunsOnceAndIsAnsweredAlike() {
        Reply first = get(caller.order(fleet.address(0), "twice", "key-twice"));
        Reply second = get(caller.order(fleet.address(1), "twice", "key-twice"));

        assertThat(first.status()).isEqualTo(201);
        assertThat(second).isEqualTo(first);
        assertThat(runs("twice")).isEqualTo(1);
    }

    @Test
    void ordersAskedForAtOnceThroughBothRoutersRunOnce() {
        List<CompletableFuture<Reply>> replies = new java.util.ArrayList<>();
        for (int i = 0; i < 10; i++) {
            replies.add(caller.order(fleet.address(i % 2), "race", "key-race").toFuture());
        }
        replies.forEach(reply -> assertThat(reply.join().status()).isAnyOf(201, 409));

        assertThat(runs("race")).isEqualTo(1);
    }

    @Test
    void aKeyUsedForAnotherOrderIsRefused() {
        get(caller.order(fleet.address(0), "one", "key-shared"));

        Reply reply = get(caller.order(fleet.address(1), "other", "key-shared"));

        assertThat(reply.code()).isEqualTo("KEY_REUSED");
        assertThat(runs("other")).isEqualTo(0);
    }

    @Test
    void anOrderWhoseAnswerIsLostMayHaveRunAndIsNeverRunAgain() {
        services(new ServiceFaults(1, 0, 0, false, false));

        Reply first = get(caller.order(fleet.address(0), "lost", "key-lost"));
        Reply again = get(caller.order(fleet.address(1), "lost", "key-lost"));

        assertThat(first.verdict()).isEqualTo("MAY_HAVE_RUN");
        assertThat(again.code()).isEqualTo("IN_PROGRESS");
        assertThat(again.verdict()).isEqualTo("MAY_HAVE_RUN");
        assertThat(runs("lost")).isEqualTo(1);
    }

    @Test
    void anOrderThatEveryServiceDeclinesDidNotRunAndMayBeAskedForAgain() {
        services(new ServiceFaults(0, 0, 0, false, true));
        Reply declined = get(caller.order(fleet.address(0), "declined", "key-declined"));
        assertThat(declined.verdict()).isEqualTo("NOT_RUN");
        assertThat(runs("declined")).isEqualTo(0);

        services(ServiceFaults.NONE);

        assertThat(get(caller.order(fleet.address(1), "declined", "key-declined"))
                        .status())
                .isEqualTo(201);
        assertThat(runs("declined")).isEqualTo(1);
    }

    @Test
    void answersOfTheStoreThatAreLostDoubleNothing() {
        fleet.deployment().table().faults(new TableFaults(false, 0, 0.7));
        for (int i = 0; i < 6; i++) {
            String number = "store-" + i;
            get(caller.order(fleet.address(0), number, "key-" + number));
            get(caller.order(fleet.address(1), number, "key-" + number));

            assertThat(runs(number)).isAtMost(1);
        }
    }

    @Test
    void withoutTheStoreChatsGoOnAndOrdersAreTruthfullyRefused() {
        fleet.deployment().table().faults(new TableFaults(true, 0, 0));

        Reply chat = get(caller.chat(fleet.address(0), TestCaller.chatBody("outage", 3, true)));
        Reply order = get(caller.order(fleet.address(0), "outage", "key-outage"));

        assertThat(TestCaller.text(chat.body())).isEqualTo(TestCaller.expected("outage", 3));
        assertThat(order.code()).isEqualTo("STORE_UNAVAILABLE");
        assertThat(order.verdict()).isEqualTo("NOT_RUN");
        assertThat(runs("outage")).isEqualTo(0);
    }

    @Test
    void withATicketOrdersAreServedWithoutTheStoreAndOnceThroughAnyRouter() {
        fleet.deployment().table().faults(new TableFaults(true, 0, 0));
        String ticket = ticket(0);

        Reply first = get(caller.order(fleet.address(1), "ticket", ticket));
        Reply second = get(caller.order(fleet.address(0), "ticket", ticket));

        assertThat(first.status()).isEqualTo(201);
        assertThat(second).isEqualTo(first);
        assertThat(runs("ticket")).isEqualTo(1);
    }

    @Test
    void aTicketOfARouterThatIsGoneMayHaveRunAndIsNeverRunAgain() throws InterruptedException {
        String ticket = ticket(0);
        fleet.router(0).stop();

        Reply reply = get(caller.order(fleet.address(1), "gone", ticket));

        assertThat(reply.code()).isEqualTo("TICKET_LOST");
        assertThat(reply.verdict()).isEqualTo("MAY_HAVE_RUN");
        assertThat(runs("gone")).isEqualTo(0);
    }

    @Test
    void aForgedTicketGainsNothing() {
        String ticket = ticket(0);
        String forged = ticket.substring(0, ticket.lastIndexOf('.')) + ".999";

        Reply unknown = get(caller.order(fleet.address(0), "forged", forged));
        Reply other = get(caller.post(
                fleet.address(0) + "/services/booking/orders", "universities", "{\"number\":\"forged\"}", ticket));

        assertThat(unknown.verdict()).isEqualTo("NOT_RUN");
        assertThat(other.verdict()).isEqualTo("NOT_RUN");
        assertThat(runs("forged")).isEqualTo(0);
    }

    private String ticket(int router) {
        Reply reply = get(caller.post(fleet.address(router) + "/v1/tickets", "foreign-operators", "", null));
        return org.radishpass.runtime.http.HttpJson.parse(
                        reply.body().getBytes(java.nio.charset.StandardCharsets.UTF_8))
                .path("ticket")
                .asText();
    }

    private int runs(String number) {
        return fleet.deployment().services().stream()
                .mapToInt(service -> service.runs().getOrDefault(number, 0))
                .sum();
    }

    private void services(ServiceFaults faults) {
        fleet.deployment().services().forEach(service -> service.faults(faults));
    }

    private static Reply get(reactor.core.publisher.Mono<Reply> reply) {
        return reply.blockOptional().orElseThrow();
    }
}
