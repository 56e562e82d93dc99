package org.radishpass.routing.testing;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A caller with one TCP connection to a router, which sends and reads raw HTTP text. */
public final class TestCaller implements AutoCloseable {
    private static final int PATIENCE_MILLIS = 20_000;

    private final Socket socket;

    /** Connects to a router on the loopback interface. */
    public TestCaller(int port) throws IOException {
        this.socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(PATIENCE_MILLIS);
    }

    /** Sends a text. */
    public TestCaller send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
        return this;
    }

    /** Sends a complete request with a body. */
    public TestCaller request(String method, String path, String id, String body) throws IOException {
        return send(method + " " + path + " HTTP/1.1\r\nHost: api\r\n" + PlainDialect.ID + ": " + id
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Reads up to and including a given text. */
    public String readUntil(String end) throws IOException {
        StringBuilder text = new StringBuilder();
        InputStream in = socket.getInputStream();
        while (text.indexOf(end) < 0) {
            int read = in.read();
            if (read < 0) {
                throw new IOException("the connection ended after: " + text);
            }
            text.append((char) read);
        }
        return text.toString();
    }

    /** Reads until a given text has been read a number of times, and returns what came between. */
    public String readUntilCount(String text, int count) throws IOException {
        StringBuilder between = new StringBuilder();
        byte[] expected = text.getBytes(StandardCharsets.UTF_8);
        for (int number = 0; number < count; number++) {
            between.append(readUntil("\r\n\r\n"));
            if (!java.util.Arrays.equals(expected, socket.getInputStream().readNBytes(expected.length))) {
                throw new IOException("other bytes than expected in response " + number);
            }
        }
        return between.toString();
    }

    /** Reads the body whose length the Content-Length header of a head states; empty if there is no such header. */
    public String readBody(String head) throws IOException {
        for (String line : head.split("\r\n", -1)) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                int length =
                        Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
                return new String(socket.getInputStream().readNBytes(length), StandardCharsets.UTF_8);
            }
        }
        return "";
    }

    /** Reads until the connection is closed; marks a connection reset at the end of the result. */
    public String readAll() throws IOException {
        StringBuilder text = new StringBuilder();
        InputStream in = socket.getInputStream();
        try {
            for (int read = in.read(); read >= 0; read = in.read()) {
                text.append((char) read);
            }
        } catch (java.net.SocketException e) {
            text.append("<reset>");
        }
        return text.toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
