import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bookings at two routers, while many callers come at once and send plans whose bodies are as large as the desired state
 * allows.
 */
final class CaseBodies {
    private static final int BODY_BYTES = 4_194_304;
    private static final int PLANS = 100;
    private static final double BURST_SECONDS = 3.0;
    private static final double BURST_PER_SECOND = 26;
    private static final double USUAL_PER_SECOND = 15.6;
    private static final int PLAN_EVENTS = 76;
    private static final int EVENT_MILLIS = 80;
    private static final int CHUNK_BYTES = 65_536;
    private static final int CHUNK_MILLIS = 50;
    private static final int TIMEOUT_MILLIS = 2_500;
    private static final int LATE_MILLIS = 500;
    private static final int AFTER_MILLIS = 5_000;
    private static final int CALLERS = 16;

    private final Lab lab;
    private final AtomicInteger nextId = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger pastTimeout = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger plansServed = new AtomicInteger();
    private final AtomicInteger plansOther = new AtomicInteger();
    private volatile boolean ended;

    private CaseBodies(Lab lab) {
        this.lab = lab;
    }

    public static void main(String... arguments) throws Exception {
        int result = 2;
        try (Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]))) {
            result = new CaseBodies(lab).run();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private int run() throws Exception {
        for (int number = 1; number <= 4; number++) {
            runner("i-desk" + number, "desk", 6, lab.listen(100 + number));
        }
        for (int number = 1; number <= 8; number++) {
            runner("i-llm" + number, "llm", 64, lab.listen(110 + number));
        }
        lab.store.put(
                "op",
                "config",
                "{\"version\":7,\"routes\":[{\"name\":\"r-book\",\"host\":\"desk.example\",\"prefix\":\"/book/\","
                        + "\"kind\":\"non_idempotent\",\"timeout_ms\":" + TIMEOUT_MILLIS + ",\"target_latency_ms\":193,\"priority\":0,"
                        + "\"service\":\"desk\",\"max_attempts\":1,\"allow_anonymous\":false,\"session_affinity\":false},"
                        + "{\"name\":\"r-plan\",\"host\":\"desk.example\",\"prefix\":\"/plan/\",\"kind\":\"stream\","
                        + "\"timeout_ms\":15000,\"target_latency_ms\":800,\"priority\":1,\"service\":\"llm\",\"max_attempts\":1,"
                        + "\"allow_anonymous\":false,\"session_affinity\":true,\"stream_resume\":false,\"gap_aim_ms\":250}],"
                        + "\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":100,\"protocol\":\"h1\","
                        + "\"tls\":false},{\"name\":\"llm\",\"health_path\":\"/health\",\"max_connections\":360,\"protocol\":\"h1\","
                        + "\"tls\":false,\"engine\":{\"slots\":64,\"kv_capacity_tokens\":625028,\"models\":[{\"name\":\"m\"}]}}],"
                        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":" + BODY_BYTES + ",\"header_timeout_ms\":3000,"
                        + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key-of-t1\"],\"priority\":1}]}");
        Process first = lab.startRouter(1, List.of(1, 2));
        Process second = lab.startRouter(2, List.of(1, 2));
        lab.awaitReady(1, 30_000);
        lab.awaitReady(2, 30_000);
        Thread.sleep(2_500);
        for (int number = 0; number < CALLERS; number++) {
            Random random = new Random(number);
            int router = 1 + number % 2;
            start(() -> call(router, random));
        }
        Thread.sleep(5_000);
        List<Thread> uploads = new ArrayList<>();
        lab.log("plans begin to come, bodies of " + (lab.trouble ? BODY_BYTES : 12_000) + " bytes");
        long begunMillis = lab.millis();
        for (int number = 0; number < PLANS; number++) {
            int router = 1 + number % 2;
            Thread.sleep(Math.max(0, begunMillis + dueMillis(number) - lab.millis()));
            uploads.add(start(() -> plan(router)));
        }
        lab.log("the last plan begins");
        for (Thread upload : uploads) {
            upload.join(25_000);
        }
        lab.log("no plan is under way any more");
        Thread.sleep(AFTER_MILLIS);
        ended = true;
        Thread.sleep(3_500);
        lab.log("front-1 " + (first.isAlive() ? "runs" : "has ended") + ", front-2 " + (second.isAlive() ? "runs" : "has ended"));
        String result = nextId.get() + " bookings sent, " + served + " served; of " + pastTimeout
                + " that were unanswered at their route's timeout " + unanswered + " had no answer " + LATE_MILLIS + " ms later; "
                + plansServed + " of " + PLANS + " plans served";
        lab.log(result);
        System.out.println(result);
        if (served.get() < 100) {
            return 2;
        }
        boolean broken = unanswered.get() >= 8 && unanswered.get() * 2 > pastTimeout.get();
        return broken ? 1 : 0;
    }

    /** When a plan is due: in a burst at first, then at the usual rate. */
    private static long dueMillis(int number) {
        double inBurst = BURST_SECONDS * BURST_PER_SECOND;
        double seconds = number <= inBurst ? number / BURST_PER_SECOND : BURST_SECONDS + (number - inBurst) / USUAL_PER_SECOND;
        return Math.round(1_000 * seconds);
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void call(int router, Random random) {
        while (!ended) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(lab.host(router), Lab.FRONT_PORT), 1_000);
                socket.setTcpNoDelay(true);
                InputStream in = Lab.buffered(socket);
                boolean open = true;
                while (open && !ended) {
                    Thread.sleep(40 + random.nextInt(120));
                    open = book(router, socket, in);
                }
            } catch (IOException e) {
                lab.log("a channel of a caller failed: " + e.getMessage());
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private boolean book(int router, Socket socket, InputStream in) throws IOException {
        String id = String.format("%016x", nextId.incrementAndGet());
        long sentMillis = lab.millis();
        socket.setSoTimeout(TIMEOUT_MILLIS + LATE_MILLIS);
        socket.getOutputStream()
                .write(("POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 5000\r\n"
                                + "Authorization: Bearer key-of-t1\r\nContent-Length: 4\r\n\r\nbook")
                        .getBytes(StandardCharsets.US_ASCII));
        try {
            Lab.Message answer = Lab.Message.read(in);
            long millis = lab.millis() - sentMillis;
            if (answer == null) {
                lab.log("request " + id + " sent to front-" + router + ": closed after " + millis + " ms");
                return false;
            }
            pastTimeout.addAndGet(millis > TIMEOUT_MILLIS ? 1 : 0);
            answered.incrementAndGet();
            served.addAndGet(answer.status() == 200 ? 1 : 0);
            lab.log("request " + id + " sent to front-" + router + ", answered " + answer.status() + " after " + millis + " ms");
            return !answer.header("Connection").equalsIgnoreCase("close");
        } catch (java.net.SocketTimeoutException e) {
            pastTimeout.incrementAndGet();
            unanswered.incrementAndGet();
            lab.log("request " + id + " sent to front-" + router + ": no answer after " + (lab.millis() - sentMillis) + " ms");
            return false;
        }
    }

    private void plan(int router) {
        int bytes = lab.trouble ? BODY_BYTES : 12_000;
        String id = String.format("%016x", 0xabc0000 + nextPlan.incrementAndGet());
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(lab.host(router), Lab.FRONT_PORT), 1_000);
            socket.setSoTimeout(15_000);
            OutputStream out = socket.getOutputStream();
            out.write(("POST /plan/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id + "\r\nModel: m\r\nToken-Usage: 1460,80\r\n"
                            + "Prefix-Hash: 5c1e07a2:800," + id.substring(8) + ":660\r\nDeadline-Ms: 15000\r\n"
                            + "Authorization: Bearer key-of-t1\r\nContent-Length: " + bytes + "\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            byte[] chunk = new byte[CHUNK_BYTES];
            for (int sent = 0; sent < bytes; sent += chunk.length) {
                out.write(chunk, 0, Math.min(chunk.length, bytes - sent));
                Thread.sleep(CHUNK_MILLIS);
            }
            lab.log("plan " + id + " is sent to front-" + router);
            InputStream in = Lab.buffered(socket);
            Lab.Message head = Lab.Message.head(in);
            String line = head == null ? null : Lab.Message.line(in);
            while (line != null && !line.equals("0")) {
                line = Lab.Message.line(in);
            }
            boolean whole = head != null && head.status() == 200 && line != null;
            lab.log("plan " + id + " answered " + (head == null ? "with a closed channel" : head.start + (whole ? ", whole" : ", cut")));
            (whole ? plansServed : plansOther).incrementAndGet();
        } catch (IOException e) {
            plansOther.incrementAndGet();
            lab.log("plan " + id + " failed: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private final AtomicInteger nextPlan = new AtomicInteger();

    private void runner(String id, String service, int slots, ServerSocket server) {
        lab.store.put(
                "servers",
                id,
                "{\"service\":\"" + service + "\",\"address\":\"" + server.getInetAddress().getHostAddress() + ":"
                        + server.getLocalPort() + "\",\"zone\":\"za\",\"version\":\"v1\",\"slots\":" + slots
                        + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1}");
        Semaphore free = new Semaphore(slots, true);
        start(() -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    start(() -> serve(id, service, free, socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    private void serve(String id, String service, Semaphore free, Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = Lab.buffered(socket);
            OutputStream out = socket.getOutputStream();
            while (true) {
                Lab.Message request = Lab.Message.read(in);
                if (request == null) {
                    return;
                }
                String requestId = request.header("Request-Id");
                if (!request.header("Expect-Instance").equals(id)) {
                    out.write(bytes("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + requestId + "\r\nRunner-Id: " + id
                            + "\r\nContent-Length: 0\r\n\r\n"));
                    continue;
                }
                free.acquire();
                try {
                    lab.log(id + " runs " + requestId);
                    if (service.equals("desk")) {
                        Thread.sleep(43);
                        out.write(bytes("HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nResponse-Signature: 3e1b.07\r\n"
                                + "Content-Length: 6\r\n\r\nbooked"));
                    } else {
                        Thread.sleep(500);
                        out.write(bytes("HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nResponse-Signature: 3e1b.07\r\n"
                                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
                        for (int event = 1; event <= PLAN_EVENTS; event++) {
                            String text = "id: " + event + "\ndata: token\n\n";
                            out.write(bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
                            Thread.sleep(EVENT_MILLIS);
                        }
                        out.write(bytes("0\r\n\r\n"));
                    }
                } finally {
                    free.release();
                }
            }
        } catch (IOException | InterruptedException e) {
            // the channel was closed
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
