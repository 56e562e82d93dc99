package org.radishpass.routing.testing;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Bytes of answers. */
public final class Answers {
    private Answers() {
        // static methods only
    }

    /** Writes text. */
    public static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** Returns an answer with a length. */
    public static String whole(FakeEndpoint.Seen request, int status, String body) {
        return "HTTP/1.1 " + status + " x\r\n" + PlainDialect.ID + ": " + request.header(PlainDialect.ID)
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Returns the refusal of an endpoint that has not run the request. */
    public static String notRun(FakeEndpoint.Seen request) {
        return "HTTP/1.1 503 x\r\n" + PlainDialect.ID + ": " + request.header(PlainDialect.ID) + "\r\n"
                + PlainDialect.NOT_RUN + ": 1\r\nContent-Length: 0\r\n\r\n";
    }

    /** Returns the head of a stream in chunks. */
    public static String streamHead(FakeEndpoint.Seen request) {
        return "HTTP/1.1 200 OK\r\n" + PlainDialect.ID + ": " + request.header(PlainDialect.ID)
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    /** Returns a chunk. */
    public static String chunk(String content) {
        return Integer.toHexString(content.length()) + "\r\n" + content + "\r\n";
    }

    /** Returns an event. */
    public static String event(int id) {
        return "id: " + id + "\ndata: event " + id + "\n\n";
    }

    /** Returns the end of a stream in chunks. */
    public static String end() {
        return "0\r\n\r\n";
    }
}
