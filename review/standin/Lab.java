import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** What the cases share: the record, a stand-in of the platform's store, and the router's processes. JDK only. */
final class Lab implements AutoCloseable {
    static final int FRONT_PORT = 8227;
    static final int READY_PORT = 8220;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root;
    final Path temporary;
    final Store store;
    private final List<Process> processes = new ArrayList<>();
    private final StringBuilder record = new StringBuilder();
    private final Path recordFile;
    private final long startNanos = System.nanoTime();
    private final int net = 1 + (int) (ProcessHandle.current().pid() % 200);

    Lab(Path root, Path recordFile) throws IOException {
        this.root = root;
        this.recordFile = recordFile;
        this.temporary = Files.createTempDirectory("radishpass-review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        this.store = new Store(host(200));
        log("trouble " + (trouble ? "on" : "off"));
    }

    /** A loopback address of this run. */
    String host(int number) {
        return "127.77." + net + "." + number;
    }

    long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    synchronized void log(String line) {
        record.append(String.format("%8.3f s  %s%n", millis() / 1000.0, line));
    }

    /** Starts a router on an address of its own with the command of the deploy file. */
    Process startRouter(int number, List<Integer> seeds) throws IOException {
        String ip = host(number);
        String node = "front-" + number;
        Path settings = temporary.resolve(node + ".json");
        StringBuilder seedList = new StringBuilder();
        for (int seed : seeds) {
            seedList.append(seedList.length() == 0 ? "" : ",").append('"').append(host(seed)).append(":8229\"");
        }
        Files.writeString(
                settings,
                "{\"node_name\":\"" + node + "\",\"role\":\"router\",\"machine_class\":\"front\",\"serves\":[\"front\",\"control\"],"
                        + "\"ip\":\"" + ip + "\",\"zone\":\"za\",\"region\":\"ra\",\"zones\":{\"za\":\"ra\"},"
                        + "\"listen\":{\"front\":\"" + ip + ":" + FRONT_PORT + "\",\"ready\":\"" + ip + ":" + READY_PORT
                        + "\",\"control\":\"" + ip + ":8229\"},\"internal_ports\":[7340,7355],\"seeds\":[" + seedList + "],"
                        + "\"bootstrap\":true,\"in_loss_budget\":false,\"limits\":{\"cpu_share\":0.75,\"cores\":1,\"memory_mb\":430,"
                        + "\"max_fds\":4100,\"link_mbps\":1000.0,\"disk_mb\":0},\"data_dir\":null,\"discovery\":\"platform\","
                        + "\"entry\":\"virtual_ip\",\"heartbeat_ms\":1200,\"contracts\":[\"base\",\"drain\",\"config\",\"cost\","
                        + "\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\"],\"fault_tolerance\":{\"machines\":2,"
                        + "\"zones\":1,\"regions\":0},\"bounds\":{\"seed_lag_s\":3,\"reuse_after_s\":2,\"contact_ms\":3000,"
                        + "\"ack_ms\":4000,\"catch_up_s\":4,\"drain_ms\":2000,\"grace_s\":8,\"loss_slack_ms\":200,"
                        + "\"config_apply_ms\":2000,\"rollback_slack_ms\":250,\"outer_ms\":5000,\"fail_closed\":false,"
                        + "\"revoke_ms\":5000,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\"budget_extra\":58,\"recover_s\":12,"
                        + "\"pass_ms\":120,\"reuse_window_s\":10,\"cap_x\":2},\"platform\":{\"address\":\"" + store.address()
                        + "\",\"form\":\"table\",\"writes_per_s\":400,\"reads_per_s\":2000,\"tx_ms\":5.0,\"part_writes_s\":200,"
                        + "\"row_bytes\":65536,\"across\":false,\"history_s\":20,\"blob_bytes\":8388608,\"blob_ms\":25.0,"
                        + "\"blob_mb_s\":80.0}}");
        ProcessBuilder builder = new ProcessBuilder(command(node, ip + ":" + FRONT_PORT));
        builder.directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("RADISHPASS_BOOT", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(temporary.resolve(node + ".log").toFile());
        Process process = builder.start();
        processes.add(process);
        log("router " + node + " started, process " + process.pid());
        return process;
    }

    /** The words of `run` in the deploy file, with its placeholders filled in. */
    private List<String> command(String node, String front) throws IOException {
        Matcher matcher = Pattern.compile("(?m)^run\\s*=\\s*\"(.*)\"\\s*$")
                .matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!matcher.find()) {
            throw new IOException("no run line in deploy/system.toml");
        }
        List<String> words = new ArrayList<>();
        for (String word : matcher.group(1).split(" ")) {
            words.add(word.replace("{{node_name}}", node).replace("{{listen.front}}", front));
        }
        return words;
    }

    /** Waits until a router says that it is ready. */
    void awaitReady(int number, long timeoutMillis) throws Exception {
        long until = millis() + timeoutMillis;
        while (millis() < until) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(host(number), READY_PORT), 300);
                socket.setSoTimeout(500);
                socket.getOutputStream()
                        .write("GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                String line = Message.line(socket.getInputStream());
                if (line != null && line.startsWith("HTTP/1.1 200")) {
                    log("router front-" + number + " is ready");
                    return;
                }
            } catch (IOException e) {
                // not listening yet
            }
            Thread.sleep(100);
        }
        throw new IOException("router front-" + number + " was not ready in time");
    }

    /** A server socket on a free port of a loopback address. */
    ServerSocket listen(int number) throws IOException {
        return new ServerSocket(0, 200, InetAddress.getByName(host(number)));
    }

    private void endProcesses() {
        for (Process process : processes) {
            process.destroyForcibly();
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        store.close();
        synchronized (this) {
            Files.writeString(recordFile, record.toString());
        }
        if (System.getenv("KEEP_LOGS") == null) {
            try (Stream<Path> files = Files.list(temporary)) {
                files.forEach(file -> file.toFile().delete());
            }
            Files.deleteIfExists(temporary);
        } else {
            System.out.println("logs: " + temporary);
        }
    }

    /** One HTTP message of which the head and a body with a length have been read. */
    static final class Message {
        String start = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        /** Reads a line without its end; null at the end of the stream. */
        static String line(InputStream in) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            int value = in.read();
            if (value < 0) {
                return null;
            }
            while (value >= 0 && value != '\n') {
                if (value != '\r') {
                    bytes.write(value);
                }
                value = in.read();
            }
            return bytes.toString(StandardCharsets.ISO_8859_1);
        }

        /** Reads the head; null if the stream ends before it. */
        static Message head(InputStream in) throws IOException {
            Message message = new Message();
            String line = line(in);
            if (line == null) {
                return null;
            }
            message.start = line;
            for (line = line(in); line != null && !line.isEmpty(); line = line(in)) {
                int colon = line.indexOf(':');
                if (colon > 0) {
                    message.headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
                }
            }
            return line == null ? null : message;
        }

        /** Reads a message whose body, if any, has a length; null if the stream ends before it. */
        static Message read(InputStream in) throws IOException {
            Message message = head(in);
            if (message != null) {
                int length = Integer.parseInt(message.headers.getOrDefault("Content-Length", "0"));
                message.body = in.readNBytes(length);
                if (message.body.length < length) {
                    return null;
                }
            }
            return message;
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }
    }

    /** A stand-in of the platform's store: rows in tables, transactions and feeds, as PROTOCOL.md says. */
    static final class Store implements AutoCloseable {
        private final TreeMap<String, Map<String, Object>> rows = new TreeMap<>();
        private final List<Map<String, Object>> history = new ArrayList<>();
        private final HttpServer server;
        private final long startNanos = System.nanoTime();
        private long version = 100;

        Store(String host) throws IOException {
            server = HttpServer.create(new InetSocketAddress(host, 0), 100);
            server.setExecutor(Executors.newCachedThreadPool(task -> {
                Thread thread = new Thread(task, "store");
                thread.setDaemon(true);
                return thread;
            }));
            server.createContext("/-/rows-get", this::get);
            server.createContext("/-/rows-feed", this::feed);
            server.createContext("/-/rows-tx", this::transact);
            server.start();
        }

        String address() {
            return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
        }

        synchronized void put(String table, String key, String value) {
            change(table, key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), ++version);
        }

        synchronized void remove(String table, String key) {
            change(table, key, null, ++version);
        }

        private void change(String table, String key, String value, long at) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("table", table);
            row.put("part", "");
            row.put("key", key);
            if (value == null) {
                row.put("deleted", true);
                rows.remove(table + "/" + key);
            } else {
                row.put("value", value);
                rows.put(table + "/" + key, row);
            }
            row.put("ver", at);
            history.add(row);
            notifyAll();
        }

        private static Map<String, String> query(HttpExchange exchange) {
            Map<String, String> query = new LinkedHashMap<>();
            for (String part : String.valueOf(exchange.getRequestURI().getQuery()).split("&")) {
                int equals = part.indexOf('=');
                if (equals > 0) {
                    query.put(part.substring(0, equals), part.substring(equals + 1));
                }
            }
            return query;
        }

        private void get(HttpExchange exchange) throws IOException {
            Map<String, String> query = query(exchange);
            String table = query.get("table") + "/";
            List<Object> found = new ArrayList<>();
            Map<String, Object> answer;
            synchronized (this) {
                rows.tailMap(table + query.getOrDefault("from", "")).forEach((name, row) -> {
                    if (name.startsWith(table)) {
                        found.add(row);
                    }
                });
                answer = answer(found);
                answer.put("has_more", false);
            }
            respond(exchange, 200, answer);
        }

        private void feed(HttpExchange exchange) throws IOException {
            Map<String, String> query = query(exchange);
            long after = Long.parseLong(query.getOrDefault("after", "0"));
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.getOrDefault("wait_ms", "0")));
            Map<String, Object> answer;
            synchronized (this) {
                List<Object> changed = changedSince(query.get("table"), after);
                long left = until - System.nanoTime();
                while (changed.isEmpty() && left > 0) {
                    try {
                        wait(Math.max(1, TimeUnit.NANOSECONDS.toMillis(left)));
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                        break;
                    }
                    changed = changedSince(query.get("table"), after);
                    left = until - System.nanoTime();
                }
                answer = answer(changed);
            }
            respond(exchange, 200, answer);
        }

        private List<Object> changedSince(String table, long after) {
            List<Object> changed = new ArrayList<>();
            for (Map<String, Object> row : history) {
                if (row.get("table").equals(table) && (Long) row.get("ver") > after) {
                    changed.add(row);
                }
            }
            return changed;
        }

        @SuppressWarnings("unchecked")
        private void transact(HttpExchange exchange) throws IOException {
            Map<String, Object> call =
                    (Map<String, Object>) new Json(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8)).value();
            int status = 200;
            Map<String, Object> answer;
            synchronized (this) {
                for (Object entry : (List<Object>) call.getOrDefault("expected_revision", List.of())) {
                    Map<String, Object> expected = (Map<String, Object>) entry;
                    Map<String, Object> row = rows.get(expected.get("table") + "/" + expected.get("key"));
                    long has = row == null ? 0 : (Long) row.get("ver");
                    if (has != ((Number) expected.get("ver")).longValue()) {
                        status = 412;
                    }
                }
                if (status == 200) {
                    long at = ++version;
                    for (Object entry : (List<Object>) call.getOrDefault("puts", List.of())) {
                        Map<String, Object> put = (Map<String, Object>) entry;
                        change((String) put.get("table"), (String) put.get("key"), (String) put.get("value"), at);
                    }
                    for (Object entry : (List<Object>) call.getOrDefault("remove", List.of())) {
                        Map<String, Object> removed = (Map<String, Object>) entry;
                        change((String) removed.get("table"), (String) removed.get("key"), null, at);
                    }
                }
                answer = answer(List.of());
            }
            respond(exchange, status, answer);
        }

        private Map<String, Object> answer(List<Object> found) {
            Map<String, Object> answer = new LinkedHashMap<>();
            answer.put("rows", found);
            answer.put("ver", version);
            answer.put("now_ms", 50_000 + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
            return answer;
        }

        private static void respond(HttpExchange exchange, int status, Map<String, Object> answer) throws IOException {
            byte[] body = Json.text(answer).getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, body.length);
            try (OutputStream out = exchange.getResponseBody()) {
                out.write(body);
            }
        }

        @Override
        public void close() {
            server.stop(0);
        }
    }

    /** Enough of JSON for the store. */
    static final class Json {
        private final String text;
        private int at;

        Json(String text) {
            this.text = text;
        }

        Object value() {
            skip();
            char first = text.charAt(at);
            if (first == '{') {
                Map<String, Object> object = new LinkedHashMap<>();
                at++;
                for (skip(); text.charAt(at) != '}'; skip()) {
                    String name = string();
                    skip();
                    at++;
                    object.put(name, value());
                    skip();
                    if (text.charAt(at) == ',') {
                        at++;
                    }
                }
                at++;
                return object;
            }
            if (first == '[') {
                List<Object> array = new ArrayList<>();
                at++;
                for (skip(); text.charAt(at) != ']'; skip()) {
                    array.add(value());
                    skip();
                    if (text.charAt(at) == ',') {
                        at++;
                    }
                }
                at++;
                return array;
            }
            if (first == '"') {
                return string();
            }
            int from = at;
            while (at < text.length() && ",]} \n".indexOf(text.charAt(at)) < 0) {
                at++;
            }
            String word = text.substring(from, at);
            return switch (word) {
                case "true" -> true;
                case "false" -> false;
                case "null" -> null;
                default -> word.contains(".") ? (Object) Double.valueOf(word) : (Object) Long.valueOf(word);
            };
        }

        private void skip() {
            while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
                at++;
            }
        }

        private String string() {
            StringBuilder result = new StringBuilder();
            for (at++; text.charAt(at) != '"'; at++) {
                if (text.charAt(at) == '\\') {
                    at++;
                    result.append(text.charAt(at) == 'n' ? '\n' : text.charAt(at));
                } else {
                    result.append(text.charAt(at));
                }
            }
            at++;
            return result.toString();
        }

        static String text(Object value) {
            if (value instanceof Map<?, ?> map) {
                StringBuilder result = new StringBuilder("{");
                map.forEach((name, field) ->
                        result.append(result.length() == 1 ? "" : ",").append(text(name)).append(':').append(text(field)));
                return result.append('}').toString();
            }
            if (value instanceof List<?> list) {
                StringBuilder result = new StringBuilder("[");
                list.forEach(field -> result.append(result.length() == 1 ? "" : ",").append(text(field)));
                return result.append(']').toString();
            }
            return value instanceof String string ? "\"" + string.replace("\\", "\\\\").replace("\"", "\\\"") + "\"" : String.valueOf(value);
        }
    }

    static InputStream buffered(Socket socket) throws IOException {
        return new BufferedInputStream(socket.getInputStream(), 65_536);
    }
}
