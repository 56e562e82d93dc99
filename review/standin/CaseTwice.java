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
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bookings that may run once, while one runner of three sends a few of its answers a second time. The second answer of a
 * rejection arrives late, where the answer to the next request of the channel is due.
 */
final class CaseTwice {
    private static final int RUNNERS = 3;
    private static final int SLOTS = 6;
    private static final int QUEUE = 2;
    private static final int WORK_MILLIS = 30;
    private static final double MAX_EXTRA_SHARE = 0.03;
    private static final int CALLERS = Integer.getInteger("callers", 40);
    private static final int SECONDS = Integer.getInteger("seconds", 40);

    private final Lab lab;
    private final Map<String, List<String>> runs = new ConcurrentHashMap<>();
    private final Map<String, Integer> answers = new ConcurrentHashMap<>();
    private final AtomicInteger nextId = new AtomicInteger();
    private volatile boolean ended;

    private CaseTwice(Lab lab) {
        this.lab = lab;
    }

    public static void main(String... arguments) throws Exception {
        int result = 2;
        try (Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]))) {
            result = new CaseTwice(lab).run();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private int run() throws Exception {
        List<Runner> runners = new ArrayList<>();
        for (int number = 1; number <= RUNNERS; number++) {
            Runner runner = new Runner("i-runner" + number, lab.listen(100 + number), lab.trouble && number == 1);
            runners.add(runner);
            lab.store.put(
                    "servers",
                    runner.id,
                    "{\"service\":\"desk\",\"address\":\"" + runner.address() + "\",\"zone\":\"za\",\"version\":\"v1\",\"slots\":" + SLOTS
                            + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1}");
            runner.start();
        }
        lab.store.put(
                "op",
                "config",
                "{\"version\":7,\"routes\":[{\"name\":\"r-book\",\"host\":\"desk.example\",\"prefix\":\"/book/\","
                        + "\"kind\":\"non_idempotent\",\"timeout_ms\":2500,\"target_latency_ms\":193,\"priority\":0,"
                        + "\"service\":\"desk\",\"max_attempts\":1,\"allow_anonymous\":false,\"session_affinity\":false}],"
                        + "\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\","
                        + "\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t1\","
                        + "\"api_keys\":[\"key-of-t1\"],\"priority\":1}]}");
        lab.startRouter(1, List.of(1, 2));
        lab.startRouter(2, List.of(1, 2));
        lab.awaitReady(1, 30_000);
        lab.awaitReady(2, 30_000);
        Thread.sleep(1_500);
        List<Thread> callers = new ArrayList<>();
        for (int number = 0; number < CALLERS; number++) {
            Random random = new Random(number);
            int router = 1 + number % 2;
            Thread caller = new Thread(() -> call(router, random), "caller");
            caller.setDaemon(true);
            caller.start();
            callers.add(caller);
        }
        Thread.sleep(SECONDS * 1_000L);
        ended = true;
        for (Thread caller : callers) {
            caller.join(4_000);
        }
        Thread.sleep(500);
        return verdict(runners);
    }

    private int verdict(List<Runner> runners) {
        int twice = 0;
        int refused = 0;
        for (Map.Entry<String, List<String>> entry : runs.entrySet()) {
            int status = answers.getOrDefault(entry.getKey(), 0);
            if (entry.getValue().size() > 1) {
                twice++;
                lab.log("TWICE: request " + entry.getKey() + " ran at " + entry.getValue() + ", its caller got " + status);
            }
            if (status == 503 || status == 429) {
                refused++;
                lab.log("REFUSED: request " + entry.getKey() + " ran at " + entry.getValue() + ", its caller got " + status);
            }
        }
        for (Runner runner : runners) {
            lab.log(runner.id + ": " + runner.answered + " answers, " + runner.shed + " of them rejections, " + runner.extra
                    + " sent a second time");
        }
        long served = answers.values().stream().filter(status -> status == 200).count();
        String result = answers.size() + " requests answered, " + served + " with 200, " + runs.size() + " ran; " + twice
                + " ran twice, " + refused + " ran though refused";
        lab.log(result);
        System.out.println(result);
        if (served < 200) {
            return 2;
        }
        return twice + refused > 0 ? 1 : 0;
    }

    private void call(int router, Random random) {
        while (!ended) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(lab.host(router), Lab.FRONT_PORT), 1_000);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(4_000);
                InputStream in = Lab.buffered(socket);
                boolean open = true;
                while (open && !ended) {
                    Thread.sleep(random.nextInt(120));
                    String id = String.format("%016x", nextId.incrementAndGet());
                    lab.log("request " + id + " sent to front-" + router);
                    socket.getOutputStream()
                            .write(("POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id
                                            + "\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer key-of-t1\r\nContent-Length: 4\r\n\r\nbook")
                                    .getBytes(StandardCharsets.US_ASCII));
                    Lab.Message answer = Lab.Message.read(in);
                    int status = answer == null ? -1 : answer.status();
                    answers.put(id, status);
                    lab.log("request " + id + " answered " + status);
                    open = answer != null && !answer.header("Connection").equalsIgnoreCase("close");
                }
            } catch (IOException e) {
                lab.log("a channel of a caller failed: " + e);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** A runner with slots, a short queue, and rejections as the wire examples show them. */
    private final class Runner {
        private final String id;
        private final ServerSocket server;
        private final boolean faulty;
        private int running;
        private int waiting;
        private int answered;
        private int shed;
        private int extra;

        Runner(String id, ServerSocket server, boolean faulty) {
            this.id = id;
            this.server = server;
            this.faulty = faulty;
        }

        String address() {
            return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
        }

        void start() {
            Thread acceptor = new Thread(
                    () -> {
                        while (true) {
                            try {
                                Socket socket = server.accept();
                                Thread channel = new Thread(() -> serve(socket), id);
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

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = Lab.buffered(socket);
                OutputStream out = socket.getOutputStream();
                byte[] late = null;
                while (true) {
                    Lab.Message request = Lab.Message.read(in);
                    if (request == null) {
                        return;
                    }
                    if (late != null) {
                        lab.log(id + " sends its last answer on this channel, a rejection, a second time; the channel now waits for the"
                                + " answer to " + request.header("Request-Id"));
                        out.write(late);
                        late = null;
                    }
                    byte[] answer = answer(request);
                    out.write(answer);
                    if (rejection(answer) && spoils()) {
                        late = answer;
                    }
                }
            } catch (IOException | InterruptedException e) {
                // the channel was closed
            }
        }

        private boolean rejection(byte[] answer) {
            return new String(answer, StandardCharsets.US_ASCII).contains("Not-Executed");
        }

        private synchronized boolean spoils() {
            if (!faulty || extra + 1 > MAX_EXTRA_SHARE * answered) {
                return false;
            }
            extra++;
            return true;
        }

        private byte[] answer(Lab.Message request) throws InterruptedException {
            String requestId = request.header("Request-Id");
            if (!request.header("Expect-Instance").equals(id)) {
                return bytes("HTTP/1.1 421 Misdirected Request\r\nRunner-Id: " + id + "\r\nContent-Length: 0\r\n\r\n", "");
            }
            synchronized (this) {
                answered++;
                if (running >= SLOTS && waiting >= QUEUE) {
                    shed++;
                    lab.log(id + " rejects " + requestId);
                    return bytes(
                            "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRunner-Load: " + load() + "\r\nContent-Length: 0\r\n\r\n",
                            "");
                }
                waiting++;
                while (running >= SLOTS) {
                    wait();
                }
                waiting--;
                running++;
            }
            runs.computeIfAbsent(requestId, key -> java.util.Collections.synchronizedList(new ArrayList<>())).add(id);
            lab.log(id + " runs " + requestId);
            Thread.sleep(WORK_MILLIS);
            synchronized (this) {
                running--;
                notifyAll();
                return bytes(
                        "HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nResponse-Signature: 3e1b.07\r\nRunner-Load: " + load()
                                + "\r\nContent-Length: 6\r\n\r\n",
                        "booked");
            }
        }

        private String load() {
            return running + "," + waiting + "," + SLOTS;
        }

        private byte[] bytes(String head, String body) {
            return (head + body).getBytes(StandardCharsets.US_ASCII);
        }
    }
}
