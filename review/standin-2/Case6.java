import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The open channels to the store go silent for good, while new ones work; meanwhile a runner leaves. Rule DRAIN. */
final class Case6 {
    private static final int RUNNERS = 4;
    private static final int CLIENTS = 24;
    private static final int WORK_MILLIS = 43;
    private static final int CONTACT_MILLIS = 3_000;
    private static final int DRAIN_MILLIS = 2_000;

    /** How much longer than drain_ms the runner serves. */
    private static final int LONGER_MILLIS = 1_000;

    private static final Map<String, Integer> ANSWERS = new ConcurrentHashMap<>();
    private static final List<String> CUT = java.util.Collections.synchronizedList(new ArrayList<>());
    private static final Map<String, Long> RUNNING = new ConcurrentHashMap<>();
    private static final AtomicInteger LATE = new AtomicInteger();
    private static volatile long inTouchFrom = Long.MAX_VALUE;
    private static volatile long ack = Long.MAX_VALUE;

    public static void main(String... arguments) {
        Lab2.main("review/6", Case6::run);
    }

    private static Lab2.Behaviour runner(Lab2 lab, boolean leaves) {
        return (runner, request, out) -> {
            String id = request.header("Request-Id");
            long now = Lab2.now();
            if (leaves && now - DRAIN_MILLIS > ack && now > inTouchFrom) {
                LATE.incrementAndGet();
                lab.say("runner " + runner.id + ", gone for " + (now - ack) + " ms, gets " + id);
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
        Lab2.Proxy proxy = lab.add(new Lab2.Proxy(store.address()));
        List<Lab2.Runner> runners = new ArrayList<>();
        for (int number = 0; number < RUNNERS; number++) {
            runners.add(lab.add(lab.new Runner(store, "i-" + number, "wuno96b", runner(lab, number == 0), 6)));
        }
        store.put("op", "config", Lab2.config(7, "", 16_384));
        Lab2.Router router = lab.new Router();
        router.settings(8, proxy.address());
        router.start();
        router.awaitReady(20_000);
        long end = Lab2.now() + 18_000;
        Thread[] clients = new Thread[CLIENTS];
        for (int number = 0; number < CLIENTS; number++) {
            clients[number] = Lab2.daemon("client", () -> client(lab, router, end));
        }
        Thread.sleep(7_000);
        long silentAt = Lab2.now();
        if (trouble) {
            lab.say("the " + proxy.silence() + " open channels to the store go silent, new ones work");
        }
        inTouchFrom = silentAt + CONTACT_MILLIS;
        Thread.sleep(1_000);
        ack = store.remove("servers", "i-0");
        lab.say("the store acknowledged that i-0 is gone; i-0 goes on serving for " + (DRAIN_MILLIS + LONGER_MILLIS) + " ms");
        Thread.sleep(DRAIN_MILLIS + LONGER_MILLIS);
        CUT.addAll(RUNNING.keySet());
        runners.get(0).close();
        lab.say("i-0 ends; it was at work on " + CUT);
        for (Thread client : clients) {
            client.join(20_000);
        }
        int lost = 0;
        for (String id : CUT) {
            int status = ANSWERS.getOrDefault(id, 0);
            lab.say("request " + id + ", on which i-0 was at work: its client got " + status);
            lost += status == 200 ? 0 : 1;
        }
        lab.say(LATE + " requests reached i-0 later than drain_ms after the ack, while the router had been in touch for "
                + "contact_ms; " + lost + " bookings were lost with it; " + ANSWERS.size() + " requests in all");
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
