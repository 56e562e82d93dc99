package org.radishpass.routing.testing;

import java.util.Locale;

/**
 * A response as a caller received it.
 *
 * @param text all bytes up to the end of the connection
 * @param status the status
 * @param head the head
 * @param body the body
 * @param whole whether the body ended as the head says
 */
public record ToldResponse(String text, int status, String head, String body, boolean whole) {
    private static final String END_OF_HEAD = "\r\n\r\n";

    /**
     * Parses a response.
     *
     * @param text all bytes up to the end of the connection
     * @param bodiless whether the request or the status is one whose response has no body
     */
    public static ToldResponse parse(String text, boolean bodiless) {
        int end = text.indexOf(END_OF_HEAD);
        if (end < 0) {
            return new ToldResponse(text, 0, text, "", false);
        }
        String head = text.substring(0, end + 2);
        String rest = text.substring(end + END_OF_HEAD.length());
        int status = Integer.parseInt(head.split(" ", -1)[1].substring(0, 3));
        if (bodiless || header(head, "content-length").equals(String.valueOf(rest.length()))) {
            return new ToldResponse(text, status, head, rest, true);
        }
        StringBuilder body = new StringBuilder();
        boolean whole = header(head, "transfer-encoding").equals("chunked") && appendChunks(rest, body);
        return new ToldResponse(text, status, head, body.toString(), whole);
    }

    /** Returns the value of a header; empty if it is absent. */
    public String header(String name) {
        return header(head, name);
    }

    private static String header(String head, String name) {
        for (String line : head.split("\r\n", -1)) {
            if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                return line.substring(name.length() + 1).strip();
            }
        }
        return "";
    }

    /** Appends the content of all chunks, and tells whether the last one ends the text. */
    private static boolean appendChunks(String text, StringBuilder body) {
        int position = 0;
        while (true) {
            int lineEnd = text.indexOf("\r\n", position);
            if (lineEnd < 0) {
                return false;
            }
            int size = Integer.parseInt(text.substring(position, lineEnd), 16);
            position = lineEnd + 2 + size + 2;
            if (size == 0) {
                return text.endsWith(END_OF_HEAD);
            }
            if (position > text.length()) {
                return false;
            }
            body.append(text, position - size - 2, position - 2);
        }
    }
}
