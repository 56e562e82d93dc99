import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A grey runner runs part of its requests and answers 503 without Not-Executed. Rule REFUSED. */
final class Case8 {
    private static final int RUNNERS = 7;
    private static final double GREY_SHARE = 0.14;
    private static final double GREY_FAILS = 0.45;
    private static final long GREY_MILLIS = 6_500;
    private static final int WORK_MILLIS = 43;
    private static final int CLIENTS = 10;

    private static final Map<String, AtomicInteger> RUNS = new ConcurrentHashMap<>();
    private static final Map<String, Integer> ANSWERS = new ConcurrentHashMap<>();
    private static final AtomicInteger REPEATED = new AtomicInteger();
    private static final Random RANDOM = new Random(8);
    private static volatile long greyFrom = Long.MAX_VALUE;

    public static void main(String... arguments) {
        Lab2.main("review/8", Case8::run);
    }

    private static Lab2.Behaviour runner(Lab2 lab, boolean grey) {
        return (runner, request, out) -> {
            String id = request.header("Request-Id");
            RUNS.computeIfAbsent(id, name -> new AtomicInteger()).incrementAndGet();
            lab.say("runner " + runner.id + " runs " + id);
            Thread.sleep(WORK_MILLIS);
            long since = Lab2.now() - greyFrom;
            boolean fails;
            synchronized (RANDOM) {
                fails = grey && since >= 0 && since < GREY_MILLIS && RANDOM.nextDouble() < GREY_FAILS;
            }
            if (fails) {
                lab.say("runner " + runner.id + " has run " + id + " and answers 503 without Not-Executed");
            }
            Lab2.write(
                    out,
                    fails
                            ? Lab2.success(request, "").replace("200 OK", "503 Service Unavailable")
                            : Lab2.success(request, "booked"));
        };
    }

    private static int run(Lab2 lab, boolean trouble) throws Exception {
        Lab2.Store store = lab.add(lab.new Store());
        for (int number = 0; number < RUNNERS; number++) {
            lab.add(lab.new Runner(
                    store, "i-" + number, "wuno96b", runner(lab, number < Math.round(GREY_SHARE * RUNNERS)), 6));
        }
        store.put("op", "config", Lab2.config(7, "", 16_384));
        Lab2.Router router = lab.new Router();
        router.settings(store, 8);
        router.start();
        router.awaitReady(20_000);
        long end = Lab2.now() + 14_000;
        Thread[] clients = new Thread[CLIENTS];
        for (int number = 0; number < CLIENTS; number++) {
            clients[number] = Lab2.daemon("client", () -> client(lab, router, end));
        }
        Thread.sleep(5_000);
        if (trouble) {
            greyFrom = Lab2.now();
            lab.say("from now on, for 6.5 s, one of " + RUNNERS + " runners fails " + GREY_FAILS + " of its requests");
        }
        for (Thread client : clients) {
            client.join(20_000);
        }
        int refused = 0;
        for (Map.Entry<String, Integer> answer : ANSWERS.entrySet()) {
            int status = answer.getValue();
            if (RUNS.containsKey(answer.getKey()) && (status == 429 || status == 503 || status == 408 || status == 421)) {
                refused++;
                lab.say("request " + answer.getKey() + " ran; its client got " + status);
            }
        }
        lab.say(ANSWERS.size() + " requests; " + refused + " ran and were answered as not run; their clients sent " + REPEATED
                + " bookings once more");
        return refused > 0 ? Lab2.BROKEN : Lab2.HELD;
    }

    private static void client(Lab2 lab, Lab2.Router router, long end) throws Exception {
        Lab2.Channel channel = new Lab2.Channel(router);
        while (Lab2.now() < end) {
            for (int attempt = 0; attempt < 2; attempt++) {
                String id = Lab2.requestId();
                channel.send(Lab2.request("POST", "/puxa403/b", id, 2_500, "", "x"));
                Lab2.Message answer = channel.answer(4_000);
                ANSWERS.put(id, answer == null ? 0 : answer.status());
                lab.say("request " + id + ": " + (answer == null ? "no answer" : answer.first));
                if (answer == null || answer.status() != 503) {
                    break;
                }
                REPEATED.addAndGet(1 - attempt); // a promise that it has not run, so the client sends the booking again
                channel.close();
                channel = new Lab2.Channel(router);
            }
            Thread.sleep(50);
        }
        channel.close();
    }
}
