package org.radishpass.routing.framing;

import java.util.Locale;

/** Collects the headers that state where a body ends, and rejects those that leave it open. */
final class LengthHeaders {
    private static final String CONTENT_LENGTH = "content-length";
    private static final String TRANSFER_ENCODING = "transfer-encoding";
    private static final String VERSION_BEGIN = "HTTP";

    /** The digits of the longest length that is accepted; each number of so many fits into a long. */
    private static final int MAX_DIGITS = 18;

    /** The characters of a name or of a value that are kept; more cannot be one that is looked for. */
    private static final int MAX_KEPT = 64;

    private final StringBuilder name = new StringBuilder();
    private final StringBuilder value = new StringBuilder();
    private int versionMatched;
    private boolean lengthLine;
    private boolean encodingLine;
    private boolean length;
    private boolean chunked;

    /** Forgets the lines seen so far. */
    void reset() {
        length = false;
        chunked = false;
        beginLine();
    }

    /** Tells whether the body is chunked. */
    boolean chunked() {
        return chunked;
    }

    void beginLine() {
        name.setLength(0);
        value.setLength(0);
        versionMatched = 0;
        lengthLine = false;
        encodingLine = false;
    }

    void name(int next) {
        keep(name, next);
        if (versionMatched < VERSION_BEGIN.length() && next == VERSION_BEGIN.charAt(versionMatched)) {
            versionMatched++;
        } else {
            versionMatched = next == VERSION_BEGIN.charAt(0) ? 1 : 0;
        }
    }

    /** Tells whether the name so far ends with what a status line begins with. */
    boolean nameEndsLikeVersion() {
        return versionMatched == VERSION_BEGIN.length();
    }

    void endName() {
        String lower = name.toString().toLowerCase(Locale.ROOT);
        lengthLine = CONTENT_LENGTH.equals(lower);
        encodingLine = TRANSFER_ENCODING.equals(lower);
    }

    void value(int next) {
        if (lengthLine || encodingLine) {
            keep(value, next);
        }
    }

    void endLine() {
        String stated = value.toString().strip();
        if (lengthLine) {
            require(!length && !chunked && number(stated), HeadDefect.CONFLICTING_LENGTH);
            length = true;
        } else if (encodingLine) {
            require(!length, HeadDefect.CONFLICTING_LENGTH);
            require(!chunked && "chunked".equalsIgnoreCase(stated), HeadDefect.INVALID_TRANSFER_ENCODING);
            chunked = true;
        }
    }

    private static boolean number(String stated) {
        return !stated.isEmpty()
                && stated.length() <= MAX_DIGITS
                && stated.chars().allMatch(digit -> digit >= '0' && digit <= '9');
    }

    private static void keep(StringBuilder text, int next) {
        if (text.length() < MAX_KEPT) {
            text.append((char) (next & 0xff));
        }
    }

    private static void require(boolean legal, HeadDefect defect) {
        if (!legal) {
            throw new MalformedResponseException(defect);
        }
    }
}
