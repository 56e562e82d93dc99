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
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bookings at three routers of one zone, of which two are stopped with SIGTERM in turn and started again. Each of the two
 * serves one long stream, so it stays until its grace period is nearly over.
 */
final class CaseStop {
    private static final int ROUTERS = 3;
    private static final int SLOTS = 6;
    private static final int WORK_MILLIS = 43;
    private static final int DEADLINE_MILLIS = 2_500;
    private static final int STREAM_MILLIS = 14_000;
    private static final int EVENT_MILLIS = 200;
    private static final long GAP_MILLIS = 2_000;
    private static final long GRACE_MILLIS = 8_000;
    private static final int REQUESTS_PER_CHANNEL = 3;
    private static final int CALLERS = 40;

    private final Lab lab;
    private final Balancer balancer = new Balancer();
    private final Map<String, Long> arrivedMillis = new ConcurrentHashMap<>();
    private final Map<String, Long> runEndMillis = new ConcurrentHashMap<>();
    private final Map<Integer, Long> stoppedAtMillis = new ConcurrentHashMap<>();
    private final List<String> lost = new ArrayList<>();
    private final AtomicInteger nextId = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private volatile boolean ended;

    private CaseStop(Lab lab) {
        this.lab = lab;
    }

    public static void main(String... arguments) throws Exception {
        int result = 2;
        try (Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]))) {
            result = new CaseStop(lab).run();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private int run() throws Exception {
        for (int number = 1; number <= 4; number++) {
            runner("i-desk" + number, "desk", SLOTS, lab.listen(100 + number));
        }
        runner("i-llm1", "llm", 64, lab.listen(111));
        lab.store.put(
                "op",
                "config",
                "{\"version\":7,\"routes\":[{\"name\":\"r-book\",\"host\":\"desk.example\",\"prefix\":\"/book/\","
                        + "\"kind\":\"non_idempotent\",\"timeout_ms\":" + DEADLINE_MILLIS + ",\"target_latency_ms\":193,\"priority\":0,"
                        + "\"service\":\"desk\",\"max_attempts\":1,\"allow_anonymous\":false,\"session_affinity\":false},"
                        + "{\"name\":\"r-plan\",\"host\":\"desk.example\",\"prefix\":\"/plan/\",\"kind\":\"stream\","
                        + "\"timeout_ms\":15000,\"target_latency_ms\":800,\"priority\":1,\"service\":\"llm\",\"max_attempts\":1,"
                        + "\"allow_anonymous\":false,\"session_affinity\":true,\"stream_resume\":false,\"gap_aim_ms\":250}],"
                        + "\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":100,\"protocol\":\"h1\","
                        + "\"tls\":false},{\"name\":\"llm\",\"health_path\":\"/health\",\"max_connections\":360,\"protocol\":\"h1\","
                        + "\"tls\":false,\"engine\":{\"slots\":64,\"kv_capacity_tokens\":625028,\"models\":[{\"name\":\"m\"}]}}],"
                        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                        + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key-of-t1\"],\"priority\":1}]}");
        Process[] routers = new Process[ROUTERS + 1];
        for (int number = 1; number <= ROUTERS; number++) {
            routers[number] = lab.startRouter(number, List.of(1, 2, 3));
        }
        for (int number = 1; number <= ROUTERS; number++) {
            lab.awaitReady(number, 30_000);
        }
        balancer.start();
        Thread.sleep(2_500);
        List<Thread> callers = new ArrayList<>();
        for (int number = 0; number < CALLERS; number++) {
            Random random = new Random(number);
            Thread caller = new Thread(() -> call(random), "caller");
            caller.setDaemon(true);
            caller.start();
            callers.add(caller);
        }
        Thread.sleep(4_000);
        for (int number = 1; number <= 2; number++) {
            int router = number;
            Thread stream = new Thread(() -> stream(router), "stream");
            stream.setDaemon(true);
            stream.start();
        }
        Thread.sleep(1_000);
        for (int number = 1; number <= 2; number++) {
            if (lab.trouble) {
                stoppedAtMillis.put(number, lab.millis());
                lab.log("SIGTERM to router front-" + number);
                routers[number].destroy();
                restartWhenEnded(number, routers[number]);
            }
            Thread.sleep(GAP_MILLIS);
        }
        Thread.sleep(14_000);
        ended = true;
        for (Thread caller : callers) {
            caller.join(4_000);
        }
        Thread.sleep(300);
        synchronized (lost) {
            lost.forEach(lab::log);
            String result = nextId.get() + " requests sent, " + served + " served, " + lost.size()
                    + " bookings passed on to a runner and cut without an answer";
            lab.log(result);
            System.out.println(result);
            if (served.get() < 200) {
                return 2;
            }
            return lost.isEmpty() ? 0 : 1;
        }
    }

    private void restartWhenEnded(int number, Process process) {
        Thread restart = new Thread(() -> {
            try {
                if (!process.waitFor(GRACE_MILLIS, TimeUnit.MILLISECONDS)) {
                    lab.log("SIGKILL to router front-" + number);
                    process.destroyForcibly().waitFor();
                }
                lab.log("router front-" + number + " has ended, "
                        + (lab.millis() - stoppedAtMillis.get(number)) + " ms after its SIGTERM");
                Thread.sleep(500);
                if (!ended) {
                    lab.startRouter(number, List.of(1, 2, 3));
                }
            } catch (IOException | InterruptedException e) {
                lab.log("restart failed: " + e);
            }
        });
        restart.setDaemon(true);
        restart.start();
    }

    /** Sends bookings on channels that are kept; each new channel goes where the platform sends it. */
    private void call(Random random) {
        while (!ended) {
            int router = balancer.choose(random);
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(lab.host(router), Lab.FRONT_PORT), 1_000);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(DEADLINE_MILLIS);
                InputStream in = Lab.buffered(socket);
                boolean open = true;
                for (int sent = 0; open && sent < REQUESTS_PER_CHANNEL && !ended; sent++) {
                    Thread.sleep(20 + random.nextInt(60));
                    open = book(router, socket, in);
                }
            } catch (IOException e) {
                // no channel; the next one goes elsewhere
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private boolean book(int router, Socket socket, InputStream in) {
        String id = String.format("%016x", nextId.incrementAndGet());
        long sentMillis = lab.millis();
        try {
            socket.getOutputStream()
                    .write(("POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: "
                                    + DEADLINE_MILLIS + "\r\nAuthorization: Bearer key-of-t1\r\nContent-Length: 4\r\n\r\nbook")
                            .getBytes(StandardCharsets.US_ASCII));
            Lab.Message answer = Lab.Message.read(in);
            if (answer == null) {
                cut(router, id, sentMillis, "the channel was closed");
                return false;
            }
            lab.log("request " + id + " sent to front-" + router + " at " + sentMillis + " ms, answered " + answer.status());
            served.addAndGet(answer.status() == 200 ? 1 : 0);
            return !answer.header("Connection").equalsIgnoreCase("close");
        } catch (java.net.SocketTimeoutException e) {
            lab.log("request " + id + " sent to front-" + router + ": the caller's deadline passed");
            return false;
        } catch (IOException e) {
            cut(router, id, sentMillis, e.getMessage());
            return false;
        }
    }

    /** Judges a channel that ended without an answer by the rule LOST around a SIGTERM. */
    private void cut(int router, String id, long sentMillis, String how) {
        long cutMillis = lab.millis();
        Long stopped = stoppedAtMillis.get(router);
        Long arrived = arrivedMillis.get(id);
        lab.log("request " + id + " sent to front-" + router + " at " + sentMillis + " ms got no answer: " + how + "; "
                + (arrived == null ? "it reached no runner" : "it reached a runner at " + arrived + " ms"));
        boolean planned = stopped != null && sentMillis >= stopped && cutMillis <= stopped + GRACE_MILLIS + 1_000;
        boolean deadlineReached = cutMillis - sentMillis >= DEADLINE_MILLIS;
        boolean excused = stopped != null
                && sentMillis <= stopped + 3_000
                && runEndMillis.getOrDefault(id, Long.MAX_VALUE) > stopped + GRACE_MILLIS * 5 / 6;
        if (planned && arrived != null && !deadlineReached && !excused) {
            synchronized (lost) {
                lost.add("LOST: request " + id + ", sent to front-" + router + " " + (sentMillis - stopped)
                        + " ms after its SIGTERM, reached a runner and was cut " + (cutMillis - stopped) + " ms after the SIGTERM, "
                        + (cutMillis - sentMillis) + " ms after it was sent");
            }
        }
    }

    /** Reads one long stream from a router. */
    private void stream(int router) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(lab.host(router), Lab.FRONT_PORT), 1_000);
            socket.setSoTimeout(15_000);
            socket.getOutputStream()
                    .write(("POST /plan/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + String.format("%016x", 0xabc000 + router)
                                    + "\r\nModel: m\r\nToken-Usage: 1460,80\r\nPrefix-Hash: 5c1e07a2:800,91bd3f06:660\r\n"
                                    + "Deadline-Ms: 15000\r\nAuthorization: Bearer key-of-t1\r\nContent-Length: 4\r\n\r\nplan")
                            .getBytes(StandardCharsets.US_ASCII));
            InputStream in = Lab.buffered(socket);
            Lab.Message head = Lab.Message.head(in);
            lab.log("the stream of front-" + router + " begins: " + (head == null ? "no answer" : head.start));
            for (String line = Lab.Message.line(in); line != null && !line.equals("0"); line = Lab.Message.line(in)) {
                // one line of the stream
            }
            lab.log("the stream of front-" + router + " has ended");
        } catch (IOException e) {
            lab.log("the stream of front-" + router + " was cut: " + e.getMessage());
        }
    }

    private void runner(String id, String service, int slots, ServerSocket server) {
        lab.store.put(
                "servers",
                id,
                "{\"service\":\"" + service + "\",\"address\":\"" + server.getInetAddress().getHostAddress() + ":"
                        + server.getLocalPort() + "\",\"zone\":\"za\",\"version\":\"v1\",\"slots\":" + slots
                        + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1}");
        java.util.concurrent.Semaphore free = new java.util.concurrent.Semaphore(slots, true);
        Thread acceptor = new Thread(
                () -> {
                    while (true) {
                        try {
                            Socket socket = server.accept();
                            Thread channel = new Thread(() -> serve(id, service, free, socket), id);
                            channel.setDaemon(true);
                            channel.start();
                        } catch (IOException e) {
                            return;
                        }
                    }
                },
                id);
        acceptor.setDaemon(true);
        acceptor.start();
    }

    private void serve(String id, String service, java.util.concurrent.Semaphore free, Socket socket) {
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
                arrivedMillis.put(requestId, lab.millis());
                free.acquire();
                try {
                    lab.log(id + " runs " + requestId);
                    if (service.equals("desk")) {
                        Thread.sleep(WORK_MILLIS);
                        runEndMillis.put(requestId, lab.millis());
                        out.write(bytes("HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nResponse-Signature: 3e1b.07\r\n"
                                + "Content-Length: 6\r\n\r\nbooked"));
                    } else {
                        out.write(bytes("HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nResponse-Signature: 3e1b.07\r\n"
                                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
                        for (int event = 1; event <= STREAM_MILLIS / EVENT_MILLIS; event++) {
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

    /** What the platform does with new channels: one zone, a readiness check a second, out after two misses. */
    private final class Balancer {
        private final Map<Integer, Integer> misses = new TreeMap<>();

        void start() {
            for (int number = 1; number <= ROUTERS; number++) {
                int router = number;
                misses.put(router, 0);
                Thread checker = new Thread(() -> check(router), "ready");
                checker.setDaemon(true);
                checker.start();
            }
        }

        private void check(int router) {
            while (!ended) {
                boolean ready = false;
                try (Socket socket = new Socket()) {
                    socket.connect(new InetSocketAddress(lab.host(router), Lab.READY_PORT), 800);
                    socket.setSoTimeout(800);
                    socket.getOutputStream().write(bytes("GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"));
                    String line = Lab.Message.line(socket.getInputStream());
                    ready = line != null && line.startsWith("HTTP/1.1 200");
                } catch (IOException e) {
                    // a miss
                }
                synchronized (misses) {
                    int before = misses.get(router);
                    int now = ready ? 0 : before + 1;
                    misses.put(router, now);
                    if (before < 2 && now >= 2) {
                        lab.log("front-" + router + " is out of rotation");
                    } else if (before >= 2 && now == 0) {
                        lab.log("front-" + router + " is in rotation again");
                    }
                }
                try {
                    Thread.sleep(1_000);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        /** A node in rotation; any node if fewer than half of the zone's nodes are in rotation. */
        int choose(Random random) {
            List<Integer> in = new ArrayList<>();
            List<Integer> all = new ArrayList<>();
            synchronized (misses) {
                misses.forEach((router, missed) -> {
                    all.add(router);
                    if (missed < 2) {
                        in.add(router);
                    }
                });
            }
            List<Integer> usable = in.size() * 2 < all.size() ? all : in;
            return usable.get(random.nextInt(usable.size()));
        }
    }
}
