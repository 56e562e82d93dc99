package org.radishpass.routing.testing;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.fleet.Address;
import org.radishpass.core.fleet.DataCentre;
import org.radishpass.routing.fleet.ServiceEndpoint;
import org.radishpass.routing.fleet.SoftwareVersion;

/**
 * An endpoint on the loopback interface that responds to each request with bytes given by the test, so that a test can
 * produce malformed, late and truncated responses.
 */
public final class FakeEndpoint implements AutoCloseable {
    private static final int END_OF_HEAD = 4;

    private final ServerSocket server;
    private final String id;
    private final Script script;
    private final List<Socket> sockets = new ArrayList<>();
    private final Thread accepting;
    private final Socket portHolder = new Socket();
    private SoftwareVersion version = new SoftwareVersion("v1");
    private final BlockingQueue<ReceivedRequest> receivedRequests = new LinkedBlockingQueue<>();

    /**
     * Starts an endpoint that listens on a free port of the loopback interface.
     *
     * @param id the id of the endpoint
     * @param script writes the responses
     */
    public FakeEndpoint(String id, Script script) throws IOException {
        this.id = id;
        this.script = script;
        this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        this.accepting = daemon(this::accept);
    }

    /** Sets the software version with which the endpoint is listed. */
    public FakeEndpoint version(String name) {
        version = new SoftwareVersion(name);
        return this;
    }

    /** Returns this endpoint as an entry of a router's endpoint directory. */
    public ServiceEndpoint endpoint(String service) {
        return new ServiceEndpoint(
                        id, service, new Address("127.0.0.1", server.getLocalPort()), new DataCentre("here"), 6, false)
                .withSoftwareVersion(version);
    }

    /** Waits for the next request and removes it from the queue of received requests. */
    public ReceivedRequest nextRequest() throws InterruptedException {
        ReceivedRequest request = receivedRequests.poll(20, TimeUnit.SECONDS);
        if (request == null) {
            throw new AssertionError("no request reached endpoint " + id);
        }
        return request;
    }

    /** Returns the number of received requests that {@link #nextRequest} has not returned yet. */
    public int pendingRequests() {
        return receivedRequests.size();
    }

    /** Tells whether the endpoint has been closed. */
    public boolean closed() {
        return server.isClosed();
    }

    /**
     * Closes the endpoint, so that further connections are refused. Waits for the accepting thread, because the kernel
     * continues to accept connections while a thread is blocked in accept. The port stays bound, so that no endpoint that
     * is started later is reached in place of this one.
     */
    @Override
    public void close() throws IOException {
        int port = server.getLocalPort();
        server.close();
        try {
            accepting.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        synchronized (sockets) {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
        holdPort(port);
    }

    private void holdPort(int port) throws IOException {
        if (!portHolder.isBound()) {
            portHolder.setReuseAddress(true);
            portHolder.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            portHolder.setReuseAddress(false);
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                synchronized (sockets) {
                    sockets.add(socket);
                }
                var unused = daemon(() -> serve(socket));
            }
        } catch (IOException e) {
            // the test has closed the server socket
        }
    }

    private void serve(Socket socket) {
        ReceivedRequest last = null;
        try (socket) {
            socket.setTcpNoDelay(true); // flushed bytes do not wait until earlier ones are acknowledged
            InputStream in = socket.getInputStream();
            for (String head = readHead(in); head != null; head = readHead(in)) {
                last = new ReceivedRequest(
                        last == null, head, new String(in.readNBytes(length(head)), StandardCharsets.UTF_8), socket);
                receivedRequests.add(last);
                script.respond(last, socket.getOutputStream());
            }
        } catch (IOException e) {
            // the router or the script has closed the connection
        } finally {
            if (last != null) {
                last.connectionClosed.countDown();
            }
        }
    }

    private static @Nullable String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < END_OF_HEAD
                || !head.substring(head.length() - END_OF_HEAD).equals("\r\n\r\n")) {
            int read = in.read();
            if (read < 0) {
                return null;
            }
            head.append((char) read);
        }
        return head.toString();
    }

    private static int length(String head) {
        String length = header(head, "content-length");
        return length.isEmpty() ? 0 : Integer.parseInt(length);
    }

    private static String header(String head, String name) {
        for (String line : head.split("\r\n", -1)) {
            int colon = line.indexOf(':');
            if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) {
                return line.substring(colon + 1).strip();
            }
        }
        return "";
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "fake-endpoint");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Writes the response to a request. */
    @FunctionalInterface
    public interface Script {
        /**
         * Writes the response, or closes the connection.
         *
         * @param request the request
         * @param out the output stream of the connection
         */
        void respond(ReceivedRequest request, OutputStream out) throws IOException;
    }

    /** A request that the endpoint has received. */
    public static final class ReceivedRequest {
        /** Counted down after the connection has been closed; counts for the last request of a connection only. */
        public final java.util.concurrent.CountDownLatch connectionClosed = new java.util.concurrent.CountDownLatch(1);

        private final boolean firstOnConnection;
        private final String head;
        private final String body;
        private final Socket socket;

        private ReceivedRequest(boolean firstOnConnection, String head, String body, Socket socket) {
            this.firstOnConnection = firstOnConnection;
            this.head = head;
            this.body = body;
            this.socket = socket;
        }

        /** Tells whether this is the first request on its connection. */
        public boolean firstOnConnection() {
            return firstOnConnection;
        }

        /** Returns the request line. */
        public String line() {
            return head.split("\r\n", -1)[0];
        }

        /** Returns the value of a header; empty if the header is absent. */
        public String header(String name) {
            return FakeEndpoint.header(head, name);
        }

        /** Returns the body. */
        public String body() {
            return body;
        }

        /** Closes the connection in order. */
        public void close() throws IOException {
            socket.close();
        }

        /** Closes the connection with a TCP reset. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }
}
