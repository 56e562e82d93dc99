/** Channels that were accepted under a shorter limit of heads keep it for good (DENIED). No case; see review/REPORT-2.md. */
final class KeptHeads {
    private static final int REQUESTS = 100;
    private static final int KEPT = 20;
    private static final int SHORT_HEAD = 100;
    private static final int LONG_HEAD = 20_000;
    private static final int LIMIT = 32_768;
    private static final int FORMER_LIMIT = 16_384;
    private static final int STORE_DOWN_MILLIS = 4_500;

    public static void main(String... arguments) {
        Lab2.main("target", KeptHeads::run);
    }

    private static int run(Lab2 lab, boolean trouble) throws Exception {
        int changed = afterChange(lab, trouble);
        int started = afterStart(lab, trouble);
        lab.say("of " + REQUESTS + " proper requests each, ended with a 4xx of the router's own: " + changed
                + " after a change of the limit, " + started + " after a start while the store was down; allowed are 5 + 1 in 500");
        return Math.max(changed, started) > 5 + REQUESTS / 500 ? Lab2.BROKEN : Lab2.HELD;
    }

    private static Lab2.Store store(Lab2 lab) throws Exception {
        Lab2.Store store = lab.add(lab.new Store());
        for (int number = 1; number <= 2; number++) {
            lab.add(lab.new Runner(store, "i-" + number, "wuno96b", (runner, request, out) -> {
                lab.say("runner " + runner.id + " runs " + request.header("Request-Id"));
                Lab2.write(out, Lab2.success(request, "done"));
            }));
        }
        return store;
    }

    /** One disruption: a version raises the limit. */
    private static int afterChange(Lab2 lab, boolean trouble) throws Exception {
        Lab2.Store store = store(lab);
        // without the disruption the longer heads are allowed from the beginning, and the second version changes nothing
        store.put("op", "config", Lab2.config(7, "", trouble ? FORMER_LIMIT : LIMIT));
        Lab2.Router router = lab.new Router();
        router.settings(store, 8);
        router.start();
        router.awaitReady(20_000);
        Lab2.Channel[] kept = open(lab, router);
        Thread.sleep(4_000); // the machine is in touch: more than contact_ms without a start
        store.put("op", "config", Lab2.config(12, "", LIMIT));
        lab.say("the store acknowledged version 12: max_header_bytes " + LIMIT);
        Thread.sleep(4_000); // twice config_apply_ms
        return denied(lab, router, kept);
    }

    /** Two disruptions: the store is down, and the router is killed and started again meanwhile. The limit never changes. */
    private static int afterStart(Lab2 lab, boolean trouble) throws Exception {
        Lab2.Store store = store(lab);
        Lab2.Proxy proxy = lab.add(new Lab2.Proxy(store.address()));
        store.put("op", "config", Lab2.config(7, "", LIMIT));
        Lab2.Router router = lab.new Router();
        router.settings(8, proxy.address());
        router.start();
        router.awaitReady(20_000);
        Thread.sleep(4_000);
        if (trouble) {
            lab.say("the store is down for " + STORE_DOWN_MILLIS + " ms");
            proxy.reset(true);
            router.kill();
            router.start();
        }
        Thread.sleep(2_000);
        Lab2.Channel[] kept = open(lab, router);
        Thread.sleep(STORE_DOWN_MILLIS - 2_000);
        proxy.reset(false);
        lab.say("the store is there");
        router.awaitReady(20_000);
        Thread.sleep(4_000); // the store is stable and the machine in touch: more than contact_ms without a disturbance
        return denied(lab, router, kept);
    }

    private static Lab2.Channel[] open(Lab2 lab, Lab2.Router router) throws Exception {
        Lab2.Channel[] kept = new Lab2.Channel[KEPT];
        for (int number = 0; number < KEPT; number++) {
            kept[number] = lab.add(new Lab2.Channel(router));
            int status = send(lab, kept[number], SHORT_HEAD);
            if (status != 200 && status != 503) {
                throw new java.io.IOException("a request with a short head was answered " + status);
            }
        }
        return kept;
    }

    private static int denied(Lab2 lab, Lab2.Router router, Lab2.Channel[] kept) throws Exception {
        try (Lab2.Channel fresh = new Lab2.Channel(router)) {
            lab.say("on a new channel: " + send(lab, fresh, LONG_HEAD));
        }
        int denied = 0;
        for (int number = 0; number < REQUESTS; number++) {
            int slot = number % KEPT;
            int status = send(lab, kept[slot], LONG_HEAD);
            if (status >= 300 && status < 500 && status != 408 && status != 421 && status != 429) {
                denied++;
                kept[slot] = lab.add(new Lab2.Channel(router)); // the router closed the other one
            }
            Thread.sleep(20);
        }
        return denied;
    }

    /** Sends a request whose head has about so many bytes, all within max_header_bytes, and returns the status. */
    private static int send(Lab2 lab, Lab2.Channel channel, int bytes) throws Exception {
        String id = Lab2.requestId();
        StringBuilder more = new StringBuilder();
        while (more.length() < bytes) {
            more.append("Trace-").append(more.length()).append(": ").append("x".repeat(70)).append("\r\n");
        }
        channel.send(Lab2.request("GET", "/slot11/a", id, 2_500, more.toString(), ""));
        Lab2.Message answer = channel.answer(3_000);
        lab.say("request " + id + ", head of " + bytes + " bytes: " + (answer == null ? "no answer" : answer.first));
        return answer == null ? 0 : answer.status();
    }
}
