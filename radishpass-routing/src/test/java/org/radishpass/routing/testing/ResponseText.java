package org.radishpass.routing.testing;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Builds the text of HTTP responses that a {@link FakeEndpoint} sends. */
public final class ResponseText {
    private ResponseText() {
        // static methods only
    }

    /** Writes a text and flushes the stream. */
    public static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** Returns a complete response with a Content-Length header. */
    public static String whole(FakeEndpoint.ReceivedRequest request, int status, String body) {
        return "HTTP/1.1 " + status + " x\r\n" + PlainDialect.ID + ": " + request.header(PlainDialect.ID)
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Returns a response with status 503 which states that the request was not run. */
    public static String notRun(FakeEndpoint.ReceivedRequest request) {
        return "HTTP/1.1 503 x\r\n" + PlainDialect.ID + ": " + request.header(PlainDialect.ID) + "\r\n"
                + PlainDialect.NOT_RUN + ": 1\r\nContent-Length: 0\r\n\r\n";
    }

    /** Returns the head of an event stream with chunked encoding. */
    public static String streamHead(FakeEndpoint.ReceivedRequest request) {
        return "HTTP/1.1 200 OK\r\n" + PlainDialect.ID + ": " + request.header(PlainDialect.ID)
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    /** Returns a chunk of a response with chunked encoding. */
    public static String chunk(String content) {
        return Integer.toHexString(content.length()) + "\r\n" + content + "\r\n";
    }

    /** Returns the text of an event with an id. */
    public static String event(int id) {
        return "id: " + id + "\ndata: event " + id + "\n\n";
    }

    /** Returns the last chunk of a response with chunked encoding. */
    public static String end() {
        return "0\r\n\r\n";
    }
}
