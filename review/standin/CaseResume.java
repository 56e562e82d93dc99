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
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Streams that may be resumed, most of them at one router of two, which holds as many channels to the runners as it may. For
 * some seconds one runner of two loses answers that it is giving, and both fail part of the requests that reach them with 500.
 */
final class CaseResume {
    private static final String LOSING_RUNNER = "i-llm1";
    private static final int CHANNELS = 100;
    private static final int SLOTS = 64;
    private static final int EVENTS = 60;
    private static final int EVENT_MILLIS = 200;
    private static final int STREAMS = 96;
    private static final double LOST_SHARE = 0.4;
    private static final double ERROR_SHARE = 0.4;
    private static final long TROUBLE_MILLIS = 4_000;

    private final Lab lab;
    private final Random random = new Random(61);
    private final AtomicInteger nextId = new AtomicInteger();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger resumed = new AtomicInteger();
    private final AtomicInteger errors = new AtomicInteger();
    private final List<String> broken = new ArrayList<>();
    private volatile boolean answersLost;
    private volatile boolean requestsFail;

    private CaseResume(Lab lab) {
        this.lab = lab;
    }

    public static void main(String... arguments) throws Exception {
        int result = 2;
        try (Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]))) {
            result = new CaseResume(lab).run();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private int run() throws Exception {
        runner(LOSING_RUNNER, lab.listen(111));
        runner("i-llm2", lab.listen(112));
        lab.store.put(
                "op",
                "config",
                "{\"version\":7,\"routes\":[{\"name\":\"r-ask\",\"host\":\"desk.example\",\"prefix\":\"/ask/\",\"kind\":\"stream\","
                        + "\"timeout_ms\":15000,\"target_latency_ms\":800,\"priority\":0,\"service\":\"llm\",\"max_attempts\":2,"
                        + "\"allow_anonymous\":false,\"session_affinity\":true,\"stream_resume\":true,\"gap_aim_ms\":250}],"
                        + "\"services\":[{\"name\":\"llm\",\"health_path\":\"/health\",\"max_connections\":" + CHANNELS
                        + ",\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":" + SLOTS
                        + ",\"kv_capacity_tokens\":625028,\"models\":[{\"name\":\"m\"}]}}],"
                        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                        + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key-of-t1\"],\"priority\":1}]}");
        lab.startRouter(1, List.of(1, 2));
        lab.startRouter(2, List.of(1, 2));
        lab.awaitReady(1, 30_000);
        lab.awaitReady(2, 30_000);
        Thread.sleep(2_500);
        List<Thread> callers = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            Thread caller = new Thread(() -> stream(1), "caller");
            caller.setDaemon(true);
            caller.start();
            callers.add(caller);
            Thread.sleep(15);
        }
        Thread.sleep(1_500);
        if (lab.trouble) {
            lab.log("runners begin to lose answers and to fail part of their requests");
            requestsFail = true;
            answersLost = true;
        }
        Thread.sleep(TROUBLE_MILLIS);
        requestsFail = false;
        answersLost = false;
        lab.log("runners are sound again");
        for (Thread caller : callers) {
            caller.join(25_000);
        }
        synchronized (broken) {
            broken.forEach(lab::log);
            String result = STREAMS + " streams: " + whole + " whole, " + cut + " cut in a way that shows, " + failed
                    + " refused or failed, " + broken.size() + " ended as complete before their last event; " + resumed
                    + " resumed, of which " + errors + " met a 500";
            lab.log(result);
            System.out.println(result);
            if (whole.get() + cut.get() + broken.size() < STREAMS / 3) {
                return 2;
            }
            return broken.isEmpty() ? 0 : 1;
        }
    }

    private void stream(int router) {
        String id = String.format("%016x", nextId.incrementAndGet());
        int last = 0;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(lab.host(router), Lab.FRONT_PORT), 1_000);
            socket.setSoTimeout(20_000);
            lab.log("request " + id + " sent to front-" + router);
            socket.getOutputStream()
                    .write(("POST /ask/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id + "\r\nModel: m\r\nToken-Usage: 300,300\r\n"
                                    + "Prefix-Hash: " + String.format("%08x", 0x1000 + Integer.parseInt(id, 16)) + ":300\r\n"
                                    + "Deadline-Ms: 15000\r\nAuthorization: Bearer key-of-t1\r\nContent-Length: 3\r\n\r\nask")
                            .getBytes(StandardCharsets.US_ASCII));
            InputStream in = Lab.buffered(socket);
            Lab.Message head = Lab.Message.head(in);
            if (head == null || head.status() != 200) {
                failed.incrementAndGet();
                lab.log("request " + id + " answered " + (head == null ? "with a closed channel" : head.start));
                return;
            }
            StringBuilder body = new StringBuilder();
            while (true) {
                String size = Lab.Message.line(in);
                if (size == null) {
                    throw new IOException("closed between two chunks");
                }
                int length = Integer.parseInt(size.strip(), 16);
                byte[] chunk = in.readNBytes(length);
                if (chunk.length < length || Lab.Message.line(in) == null) {
                    throw new IOException("closed inside a chunk");
                }
                if (length == 0) {
                    break;
                }
                body.append(new String(chunk, StandardCharsets.UTF_8));
                for (int end = body.indexOf("\n\n"); end >= 0; end = body.indexOf("\n\n")) {
                    String event = body.substring(0, end);
                    body.delete(0, end + 2);
                    int number = event.startsWith("id: ") ? Integer.parseInt(event.substring(4, event.indexOf('\n'))) : -1;
                    if (number != last + 1) {
                        broken("request " + id + ": event " + number + " follows event " + last);
                    }
                    last = number;
                }
            }
            if (last == EVENTS) {
                whole.incrementAndGet();
                lab.log("request " + id + " answered 200 with all events");
            } else {
                broken("request " + id + ", answered 200, ends as complete after event " + last + " of " + EVENTS);
            }
        } catch (IOException e) {
            cut.incrementAndGet();
            lab.log("request " + id + " cut after event " + last + ": " + e.getMessage());
        }
    }

    private void broken(String what) {
        synchronized (broken) {
            broken.add("ORDER: " + what);
        }
    }

    private void runner(String id, ServerSocket server) {
        lab.store.put(
                "servers",
                id,
                "{\"service\":\"llm\",\"address\":\"" + server.getInetAddress().getHostAddress() + ":" + server.getLocalPort()
                        + "\",\"zone\":\"za\",\"version\":\"v1\",\"slots\":" + SLOTS
                        + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1}");
        Thread acceptor = new Thread(
                () -> {
                    while (true) {
                        try {
                            Socket socket = server.accept();
                            Thread channel = new Thread(() -> serve(id, socket), id);
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

    private synchronized boolean drawn(double share) {
        return random.nextDouble() < share;
    }

    private void serve(String id, Socket socket) {
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
                int after = Integer.parseInt("0" + request.header("Last-Event-Id"));
                if (after > 0) {
                    resumed.incrementAndGet();
                }
                lab.log(id + " runs " + requestId + (after > 0 ? " from event " + (after + 1) : ""));
                if (requestsFail && drawn(ERROR_SHARE)) {
                    if (after > 0) {
                        errors.incrementAndGet();
                    }
                    lab.log(id + " fails " + requestId + " with status 500");
                    out.write(bytes("HTTP/1.1 500 Internal Server Error\r\nRequest-Id: " + requestId
                            + "\r\nResponse-Signature: 3e1b.07\r\nContent-Length: 0\r\n\r\n"));
                    continue;
                }
                boolean losesAnswer = drawn(LOST_SHARE);
                int loseAt = after + 3 + drawnBelow(15);
                out.write(bytes("HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nResponse-Signature: 3e1b.07\r\n"
                        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
                for (int event = after + 1; event <= EVENTS; event++) {
                    if (answersLost && losesAnswer && id.equals(LOSING_RUNNER) && event > loseAt) {
                        lab.log(id + " loses its answer to " + requestId + " after event " + (event - 1));
                        socket.setSoLinger(true, 0);
                        return;
                    }
                    String text = "id: " + event + "\ndata: token\n\n";
                    out.write(bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
                    Thread.sleep(EVENT_MILLIS);
                }
                out.write(bytes("0\r\n\r\n"));
            }
        } catch (IOException | InterruptedException e) {
            // the channel was closed
        }
    }

    private synchronized int drawnBelow(int bound) {
        return random.nextInt(bound);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
