import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** All routers are killed and started again; clients take their streams up. Rule LOST (of streams that are taken up). */
final class Case8 {
    private static final int ROUTERS = 3;
    private static final int RUNNERS = 4;
    private static final int CLIENTS = 20;
    private static final int EVENTS = 58;
    private static final int EVENT_PAUSE_MILLIS = 100;
    private static final int DEADLINE_MILLIS = 12_000;
    private static final int STREAMED_MILLIS = 2_000;
    private static final int DOWN_MILLIS = 1_200;

    /** From the start of the routers until streams are taken up; contact_ms and more. */
    private static final int IN_TOUCH_MILLIS = 3_800;

    private static final AtomicInteger TAKEN_UP = new AtomicInteger();
    private static final AtomicInteger WENT_ON = new AtomicInteger();
    private static final AtomicInteger FRESH = new AtomicInteger();
    private static final AtomicInteger BEGAN = new AtomicInteger();

    public static void main(String... arguments) {
        Lab2.main("review/8", Case8::run);
    }

    private static int run(Lab2 lab, boolean trouble) throws Exception {
        Lab2.Store store = lab.add(lab.new Store());
        for (int number = 0; number < RUNNERS; number++) { // all of version v1
            lab.add(lab.new Runner(store, "i-" + number, "huvo11a", (runner, request, out) -> stream(lab, runner, request, out), 64));
        }
        String route = Lab2.route("r-query", "/pufi791/", "stream", "huvo11a", 2, DEADLINE_MILLIS)
                .replace("\"session_affinity\":false", "\"session_affinity\":true,\"stream_resume\":true");
        store.put("op", "config", Lab2.config(7, "," + route, 16_384));
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
        Thread.sleep(5_000);
        long begun = Lab2.now();
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < CLIENTS; number++) {
            Lab2.Router first = routers.get(number % ROUTERS);
            Lab2.Router later = routers.get((number + 1) % ROUTERS);
            clients.add(Lab2.daemon("client", () -> client(lab, first, later, begun, trouble)));
        }
        Thread.sleep(STREAMED_MILLIS);
        if (trouble) {
            for (Lab2.Router router : routers) {
                router.kill();
            }
            Thread.sleep(DOWN_MILLIS);
            for (Lab2.Router router : routers) {
                router.start();
            }
        }
        for (Thread client : clients) {
            client.join(40_000);
        }
        lab.say("of " + TAKEN_UP + " streams that were taken up " + WENT_ON + " went on; of " + FRESH + " new ones " + BEGAN + " began");
        if (TAKEN_UP.get() < 12 || BEGAN.get() == 0) {
            return Lab2.NOT_RUN;
        }
        double goesOn = (double) WENT_ON.get() / TAKEN_UP.get();
        double begins = (double) BEGAN.get() / FRESH.get();
        return goesOn < begins / 2 ? Lab2.BROKEN : Lab2.HELD;
    }

    private static void stream(Lab2 lab, Lab2.Runner runner, Lab2.Message request, java.io.OutputStream out) throws Exception {
        String after = request.header("Last-Event-Id");
        lab.say("runner " + runner.id + " runs " + request.header("Request-Id") + (after == null ? "" : " after event " + after));
        Lab2.write(out, "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id") + "\r\nResponse-Signature: 3e1b.07"
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int number = 1 + (after == null ? 0 : Integer.parseInt(after)); number <= EVENTS; number++) {
            String event = "id: " + number + "\ndata: piece " + number + "\n\n";
            Lab2.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            Thread.sleep(EVENT_PAUSE_MILLIS);
        }
        Lab2.write(out, "0\r\n\r\n");
    }

    private static void client(Lab2 lab, Lab2.Router first, Lab2.Router later, long begun, boolean trouble) throws Exception {
        String id = Lab2.requestId();
        Lab2.Channel channel = new Lab2.Channel(first);
        channel.send(Lab2.request("POST", "/pufi791/a", id, DEADLINE_MILLIS, "", "x"));
        if (!trouble) { // the same break of each channel, by its client
            Lab2.daemon("leave", () -> {
                Thread.sleep(STREAMED_MILLIS);
                channel.close();
            });
        }
        Lab2.Message answer = channel.answer(DEADLINE_MILLIS);
        String text = answer == null ? "" : answer.text();
        int at = text.lastIndexOf("\nid: ", text.lastIndexOf("\n\n"));
        if (at < 0) {
            lab.say("request " + id + " was broken off before its second event");
            return;
        }
        int last = Integer.parseInt(text.substring(at + 5, text.indexOf('\n', at + 5)));
        lab.say("request " + id + " was broken off after event " + last);
        Thread.sleep(Math.max(0, begun + STREAMED_MILLIS + DOWN_MILLIS + IN_TOUCH_MILLIS - Lab2.now()));
        String again = Lab2.requestId();
        TAKEN_UP.incrementAndGet();
        try (Lab2.Channel other = new Lab2.Channel(later)) {
            long left = begun + DEADLINE_MILLIS - Lab2.now();
            other.send(Lab2.request(
                    "POST", "/pufi791/a", again, left, "Resumes: " + id + "\r\nLast-Event-Id: " + last + "\r\n", "x"));
            Lab2.Message rest = other.answer((int) left + 500);
            boolean goesOn = rest != null && rest.status() == 200 && rest.text().startsWith("id: " + (last + 1) + "\n");
            WENT_ON.addAndGet(goesOn ? 1 : 0);
            lab.say("request " + again + " takes " + id + " up after event " + last + ": "
                    + (rest == null ? "no answer" : rest.first + (goesOn ? ", it goes on" : " " + rest.text())));
        }
        String fresh = Lab2.requestId();
        FRESH.incrementAndGet();
        try (Lab2.Channel other = new Lab2.Channel(later)) {
            other.send(Lab2.request("POST", "/pufi791/a", fresh, DEADLINE_MILLIS, "", "x"));
            Lab2.Message whole = other.answer(DEADLINE_MILLIS);
            boolean begins = whole != null && whole.status() == 200 && whole.text().startsWith("id: 1\n");
            BEGAN.addAndGet(begins ? 1 : 0);
            lab.say("request " + fresh + ", a new stream: " + (whole == null ? "no answer" : whole.first));
        }
    }
}
