package org.radishpass.routing.testing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * A legal response, generated at random, which bears a token of its own in a header and in its body, if it has one.
 * Encoded in ISO 8859-1.
 */
public final class GeneratedResponse {
    /** The header with the token. */
    public static final String TOKEN = "X-Token";

    private static final List<String> DECOYS = List.of(
            "Via: HTTP/1.1 gateway",
            "X-Empty:",
            "X-Time: 12:30:00",
            "X-Name: Zo\u00eb",
            "X-Long: " + "v".repeat(3_000),
            "Server:\tfake/1.1\t");

    private static final List<String> REASONS = List.of("OK", "", "Fine: really", "Tr\u00e8s bien", "X");
    private static final int MAX_FILL = 60;

    private final String id;
    private final String token;
    private final int status;
    private final String body;
    private final String interim;
    private final String statusLine;
    private final List<String> headers;
    private final String framedBody;

    /**
     * Generates a response.
     *
     * @param random the source of all choices
     * @param id the id of the request
     * @param status the status
     * @param form what follows the head
     */
    public GeneratedResponse(Random random, String id, int status, Form form) {
        this.id = id;
        this.status = status;
        this.token = "token-" + id + "-" + status;
        String fill = "b".repeat(random.nextInt(MAX_FILL));
        this.body = form.body(random.nextInt(4) == 0 ? token + "\r\nHTTP/1.1 200 OK\r\n" + fill : token + fill);
        this.interim = random.nextInt(4) == 0 ? "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" : "";
        this.statusLine = "HTTP/1.1 " + status + " " + REASONS.get(random.nextInt(REASONS.size()));
        this.headers = new ArrayList<>(DECOYS.subList(0, random.nextInt(DECOYS.size() + 1)));
        headers.addAll(form.headers(body));
        headers.add(TOKEN + ": " + token);
        headers.add(random.nextBoolean() ? PlainDialect.ID + ": " + id : "x-id:" + id + " ");
        Collections.shuffle(headers, random);
        this.framedBody = form.frame(body);
    }

    /** Returns the bytes, with one character for each. */
    public String text() {
        return text(headers);
    }

    /** Returns the bytes with the headers in another order. */
    public String reordered(Random random) {
        List<String> others = new ArrayList<>(headers);
        Collections.shuffle(others, random);
        return text(others);
    }

    /** Returns the bytes without the header with the id. */
    public String withoutId() {
        return text(headers.stream().filter(header -> !isId(header)).toList());
    }

    /** Returns the bytes with the id of another request. */
    public String withId(String other) {
        return text(headers.stream()
                .map(header -> isId(header) ? PlainDialect.ID + ": " + other : header)
                .toList());
    }

    /** Returns the status. */
    public int status() {
        return status;
    }

    /** Returns the token. */
    public String token() {
        return token;
    }

    /** Returns the body as its receiver reads it. */
    public String body() {
        return body;
    }

    /** Tells whether the body holds a line that looks like the beginning of a response. */
    public boolean holdsStatusLine() {
        return body.contains("HTTP/");
    }

    private boolean isId(String header) {
        return header.regionMatches(true, 0, PlainDialect.ID + ":", 0, PlainDialect.ID.length() + 1);
    }

    private String text(List<String> lines) {
        return interim + statusLine + "\r\n" + String.join("\r\n", lines) + "\r\n\r\n" + framedBody;
    }

    /** Returns the bytes of a text. */
    public static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public String toString() {
        return "response " + status + " to " + id;
    }

    /** What follows the head of a response. */
    public enum Form {
        /** A body with a length. */
        LENGTH {
            @Override
            List<String> headers(String body) {
                return List.of("Content-Length: " + body.length());
            }
        },
        /** Chunks with extensions and a trailer. */
        CHUNKED {
            @Override
            List<String> headers(String body) {
                return List.of("Transfer-Encoding: chunked");
            }

            @Override
            String frame(String body) {
                String first = body.substring(0, 1);
                return "01;a=b\r\n" + first + "\r\n" + ResponseText.chunk(body.substring(1))
                        + "0\r\nX-Trailer: t\r\n\r\n";
            }
        },
        /** A stream of events in chunks. */
        EVENTS {
            @Override
            List<String> headers(String body) {
                return List.of("Transfer-Encoding: chunked", "Content-Type: text/event-stream");
            }

            @Override
            String body(String content) {
                return ResponseText.event(1) + "data: " + content.replace("\r\n", "\ndata: ") + "\n\n";
            }

            @Override
            String frame(String body) {
                int firstEvent = ResponseText.event(1).length();
                return ResponseText.chunk(body.substring(0, firstEvent))
                        + ResponseText.chunk(body.substring(firstEvent))
                        + ResponseText.end();
            }
        },
        /** No body, but the length that the response to a GET would have. */
        BODILESS {
            @Override
            List<String> headers(String body) {
                return List.of("Content-Length: 17");
            }

            @Override
            String body(String content) {
                return "";
            }
        },
        /** Neither a body nor a length. */
        NO_CONTENT {
            @Override
            List<String> headers(String body) {
                return List.of();
            }

            @Override
            String body(String content) {
                return "";
            }
        };

        abstract List<String> headers(String body);

        String body(String content) {
            return content;
        }

        String frame(String body) {
            return body;
        }
    }
}
