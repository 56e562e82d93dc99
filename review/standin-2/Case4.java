import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Another writer leaves an entry in the list of runners, then a runner leaves. Rule DRAIN. */
final class Case4 {
    private static final int ROUTERS = 3;
    private static final int RUNNERS = 4;
    private static final int CLIENTS = 24;
    private static final int WORK_MILLIS = 43;
    private static final int DRAIN_MILLIS = 2_000;

    /** How much longer than drain_ms the runner serves. */
    private static final int LONGER_MILLIS = 2_000;

    private static final Map<String, Integer> ANSWERS = new ConcurrentHashMap<>();
    private static final Map<String, Long> RUNNING = new ConcurrentHashMap<>();
    private static final AtomicInteger LATE = new AtomicInteger();
    private static volatile long ack = Long.MAX_VALUE;

    public static void main(String... arguments) {
        Lab2.main("review/4", Case4::run);
    }

    private static Lab2.Behaviour runner(Lab2 lab, boolean leaves) {
        return (runner, request, out) -> {
            String id = request.header("Request-Id");
            long now = Lab2.now();
            if (leaves && now - DRAIN_MILLIS > ack) {
                LATE.incrementAndGet();
                lab.say("runner " + runner.id + ", draining for " + (now - ack) + " ms, gets " + id);
            } else {
                lab.say("runner " + runner.id + " runs " + id);
            }
            if (leaves) {
                RUNNING.put(id, now);
            }
            Thread.sleep(WORK_MILLIS);
            Lab2.write(out, Lab2.success(request, "booked"));
            RUNNING.remove(id);
        };
    }

    private static int run(Lab2 lab, boolean trouble) throws Exception {
        Lab2.Store store = lab.add(lab.new Store());
        List<Lab2.Runner> runners = new ArrayList<>();
        for (int number = 0; number < RUNNERS; number++) {
            runners.add(lab.add(lab.new Runner(store, "i-" + number, "wuno96b", runner(lab, number == 0), 6)));
        }
        store.put("op", "config", Lab2.config(7, "", 16_384));
        List<Lab2.Router> routers = new ArrayList<>();
        for (int number = 0; number < ROUTERS; number++) {
            Lab2.Router router = lab.new Router();
            router.settings(store, 8);
            router.start();
            routers.add(router);
        }
        for (Lab2.Router router : routers) {
            router.awaitReady(20_000);
        }
        long end = Lab2.now() + 20_000;
        Thread[] clients = new Thread[CLIENTS];
        for (int number = 0; number < CLIENTS; number++) {
            Lab2.Router router = routers.get(number % ROUTERS);
            clients[number] = Lab2.daemon("client", () -> client(lab, router, end));
        }
        Thread.sleep(6_000);
        if (trouble) {
            store.put(
                    "servers",
                    "x-7",
                    "{\"service\":\"other-team\",\"address\":\"127.0.0.1:9\",\"zone\":\" \",\"version\":\"1\",\"slots\":1,"
                            + "\"state\":\"up\",\"cold_remaining_ms\":0,\"sequence\":1}");
            lab.say("another writer has left the entry x-7: a service and a state that are not named, a blank zone");
        }
        Thread.sleep(4_000);
        ack = runners.get(0).register(store, "draining");
        lab.say("the store acknowledged that i-0 is draining; i-0 goes on serving for " + (DRAIN_MILLIS + LONGER_MILLIS) + " ms");
        Thread.sleep(DRAIN_MILLIS + LONGER_MILLIS);
        List<String> cut = new ArrayList<>(RUNNING.keySet());
        runners.get(0).close();
        store.remove("servers", "i-0");
        lab.say("i-0 ends; it was at work on " + cut);
        for (Thread client : clients) {
            client.join(20_000);
        }
        int lost = 0;
        for (String id : cut) {
            int status = ANSWERS.getOrDefault(id, 0);
            lab.say("request " + id + ", on which i-0 was at work: its client got " + status);
            lost += status == 200 ? 0 : 1;
        }
        if (trouble) { // not judged: what the routers do when all of them start while the entry is there
            for (Lab2.Router router : routers) {
                router.kill();
            }
            for (Lab2.Router router : routers) {
                router.start();
            }
            Thread.sleep(14_000);
            try (Lab2.Channel channel = new Lab2.Channel(routers.get(0))) {
                channel.send(Lab2.request("POST", "/puxa403/b", Lab2.requestId(), 2_500, "", "x"));
                Lab2.Message answer = channel.answer(4_000);
                lab.say("for information: 14 s after a start of all routers the first is "
                        + (routers.get(0).ready() ? "" : "not ") + "ready and answers "
                        + (answer == null ? "nothing" : answer.first + " " + answer.text()));
            }
        }
        lab.say(LATE + " requests reached i-0 later than drain_ms after the ack; " + lost + " bookings were lost with it; "
                + ANSWERS.size() + " requests in all");
        return LATE.get() > 0 ? Lab2.BROKEN : Lab2.HELD;
    }

    private static void client(Lab2 lab, Lab2.Router router, long end) throws Exception {
        Lab2.Channel channel = new Lab2.Channel(router);
        while (Lab2.now() < end) {
            String id = Lab2.requestId();
            try {
                channel.send(Lab2.request("POST", "/puxa403/b", id, 2_500, "", "x"));
                Lab2.Message answer = channel.answer(4_000);
                ANSWERS.put(id, answer == null ? 0 : answer.status());
                if (answer == null || answer.status() != 200) {
                    lab.say("request " + id + ": " + (answer == null ? "no answer" : answer.first));
                }
            } catch (java.io.IOException e) {
                ANSWERS.put(id, -1);
                lab.say("request " + id + ": the channel ended");
                channel = new Lab2.Channel(router);
            }
            Thread.sleep(20);
        }
        channel.close();
    }
}
