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
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bookings while two of four runners are replaced one after the other. Before that, another writer puts an entry with a blank zone
 * into the list of runners.
 */
final class CaseEntry {
    private static final int SLOTS = 6;
    private static final int WORK_MILLIS = 43;
    private static final int DRAIN_MILLIS = 2_000;
    private static final int LINGER_MILLIS = 5_000;
    private static final int CALLERS = 16;

    private final Lab lab;
    private final Map<String, Long> drainAckMillis = new ConcurrentHashMap<>();
    private final List<String> late = new ArrayList<>();
    private final AtomicInteger nextId = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refusedAtEnd = new AtomicInteger();
    private final AtomicInteger servedAtEnd = new AtomicInteger();
    private volatile boolean replaced;
    private volatile boolean ended;

    private CaseEntry(Lab lab) {
        this.lab = lab;
    }

    public static void main(String... arguments) throws Exception {
        int result = 2;
        try (Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]))) {
            result = new CaseEntry(lab).run();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private int run() throws Exception {
        List<Runner> runners = new ArrayList<>();
        for (int number = 1; number <= 4; number++) {
            runners.add(new Runner("i-desk" + number, lab.listen(100 + number)));
        }
        lab.store.put(
                "op",
                "config",
                "{\"version\":7,\"routes\":[{\"name\":\"r-book\",\"host\":\"desk.example\",\"prefix\":\"/book/\","
                        + "\"kind\":\"non_idempotent\",\"timeout_ms\":2500,\"target_latency_ms\":193,\"priority\":0,"
                        + "\"service\":\"desk\",\"max_attempts\":1,\"allow_anonymous\":false,\"session_affinity\":false}],"
                        + "\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":100,\"protocol\":\"h1\","
                        + "\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t1\","
                        + "\"api_keys\":[\"key-of-t1\"],\"priority\":1}]}");
        lab.startRouter(1, List.of(1, 2));
        lab.startRouter(2, List.of(1, 2));
        lab.awaitReady(1, 30_000);
        lab.awaitReady(2, 30_000);
        Thread.sleep(3_000);
        for (int number = 0; number < CALLERS; number++) {
            Random random = new Random(number);
            int router = 1 + number % 2;
            Thread caller = new Thread(() -> call(router, random), "caller");
            caller.setDaemon(true);
            caller.start();
        }
        Thread.sleep(4_000);
        if (lab.trouble) {
            lab.store.put(
                    "servers",
                    "i-other",
                    "{\"service\":\"other\",\"address\":\"" + lab.host(150) + ":9\",\"zone\":\" \",\"version\":\"v1\",\"slots\":1,"
                            + "\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1}");
            lab.log("another writer has put the entry i-other with a blank zone");
        }
        Thread.sleep(4_000);
        for (int number = 0; number < 2; number++) {
            runners.add(new Runner("i-desk" + (5 + number), lab.listen(105 + number)));
            runners.get(number).drain();
            Thread.sleep(1_500);
        }
        Thread.sleep(LINGER_MILLIS + 1_000);
        replaced = true;
        Thread.sleep(3_000);
        ended = true;
        Thread.sleep(500);
        synchronized (late) {
            late.stream().limit(20).forEach(lab::log);
            String result = nextId.get() + " requests sent, " + served + " served; " + late.size()
                    + " reached a runner later than " + DRAIN_MILLIS + " ms after the store had acknowledged that it drains; after the"
                    + " replacement " + servedAtEnd + " served, " + refusedAtEnd + " not";
            lab.log(result);
            System.out.println(result);
            if (served.get() < 200) {
                return 2;
            }
            return late.isEmpty() ? 0 : 1;
        }
    }

    private void call(int router, Random random) {
        while (!ended) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(lab.host(router), Lab.FRONT_PORT), 1_000);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(2_500);
                InputStream in = Lab.buffered(socket);
                boolean open = true;
                while (open && !ended) {
                    Thread.sleep(40 + random.nextInt(120));
                    String id = String.format("%016x", nextId.incrementAndGet());
                    long sentMillis = lab.millis();
                    socket.getOutputStream()
                            .write(("POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 2500\r\n"
                                            + "Authorization: Bearer key-of-t1\r\nContent-Length: 4\r\n\r\nbook")
                                    .getBytes(StandardCharsets.US_ASCII));
                    Lab.Message answer = Lab.Message.read(in);
                    int status = answer == null ? -1 : answer.status();
                    served.addAndGet(status == 200 ? 1 : 0);
                    if (replaced) {
                        (status == 200 ? servedAtEnd : refusedAtEnd).incrementAndGet();
                    }
                    lab.log("request " + id + " sent to front-" + router + " at " + sentMillis + " ms, answered " + status);
                    open = answer != null && !answer.header("Connection").equalsIgnoreCase("close");
                }
            } catch (IOException e) {
                lab.log("a channel of a caller failed: " + e);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** A sound runner, which is registered from the beginning. */
    private final class Runner {
        private final String id;
        private final ServerSocket server;
        private final Semaphore free = new Semaphore(SLOTS, true);
        private final List<Socket> channels = new ArrayList<>();

        Runner(String id, ServerSocket server) {
            this.id = id;
            this.server = server;
            Thread acceptor = new Thread(this::accept, id);
            acceptor.setDaemon(true);
            acceptor.start();
            write("ready");
            lab.log(id + " is ready");
        }

        private void write(String state) {
            lab.store.put(
                    "servers",
                    id,
                    "{\"service\":\"desk\",\"address\":\"" + server.getInetAddress().getHostAddress() + ":" + server.getLocalPort()
                            + "\",\"zone\":\"za\",\"version\":\"v1\",\"slots\":" + SLOTS + ",\"state\":\"" + state
                            + "\",\"cold_remaining_ms\":0,\"sequence\":1}");
        }

        /** Reports that it drains, serves on for a while and exits. */
        void drain() {
            write("draining");
            drainAckMillis.put(id, lab.millis());
            lab.log("the store has acknowledged that " + id + " drains");
            Thread exit = new Thread(() -> {
                try {
                    Thread.sleep(LINGER_MILLIS);
                    lab.store.remove("servers", id);
                    server.close();
                    synchronized (channels) {
                        for (Socket channel : channels) {
                            channel.close();
                        }
                    }
                    lab.log(id + " has left");
                } catch (IOException | InterruptedException e) {
                    lab.log(id + " could not leave: " + e);
                }
            });
            exit.setDaemon(true);
            exit.start();
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = server.accept();
                    synchronized (channels) {
                        channels.add(socket);
                    }
                    Thread channel = new Thread(() -> serve(socket), id);
                    channel.setDaemon(true);
                    channel.start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
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
                    Long acknowledged = drainAckMillis.get(id);
                    long sinceMillis = acknowledged == null ? 0 : lab.millis() - acknowledged;
                    if (sinceMillis > DRAIN_MILLIS) {
                        synchronized (late) {
                            late.add("DRAIN: request " + requestId + " reaches " + id + " " + sinceMillis + " ms after the ack");
                        }
                    }
                    lab.log(id + " runs " + requestId);
                    free.acquire();
                    try {
                        Thread.sleep(WORK_MILLIS);
                    } finally {
                        free.release();
                    }
                    out.write(bytes("HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nResponse-Signature: 3e1b.07\r\n"
                            + "Content-Length: 6\r\n\r\nbooked"));
                }
            } catch (IOException | InterruptedException e) {
                // the channel was closed
            }
        }

        private byte[] bytes(String text) {
            return text.getBytes(StandardCharsets.US_ASCII);
        }
    }
}
