package org.radishpass.routing.framing;

/** Checks the first line of a response byte by byte, and the line ends that may precede it. */
final class StatusLineChecker {
    private static final String PREFIX = "HTTP/1.";
    private static final int STATUS_BEGIN = PREFIX.length() + 2;
    private static final int STATUS_END = STATUS_BEGIN + 3;

    private final StatusLineDetector detector = new StatusLineDetector();
    private int position;
    private boolean version10;
    private boolean carriageReturn;

    /** Prepares for the next response. */
    void reset() {
        detector.reset();
        position = 0;
        version10 = false;
        carriageReturn = false;
    }

    /** Tells whether the line states version 1.0. */
    boolean version10() {
        return version10;
    }

    /** Takes the next byte and tells whether it ends the line. */
    boolean accept(int next) {
        if (position == 0 && (next == '\r' || next == '\n')) {
            return false;
        }
        if (position < STATUS_BEGIN) {
            version(next);
        } else if (position < STATUS_END) {
            status(next);
        } else {
            return reason(next);
        }
        position++;
        return false;
    }

    private void version(int next) {
        boolean legal;
        if (position < PREFIX.length()) {
            legal = next == PREFIX.charAt(position);
        } else if (position == PREFIX.length()) {
            legal = next == '0' || next == '1';
            version10 = next == '0';
        } else {
            legal = next == ' ';
        }
        require(legal, HeadDefect.INVALID_VERSION);
    }

    private void status(int next) {
        int last = position == STATUS_BEGIN ? '5' : '9';
        int first = position == STATUS_BEGIN ? '1' : '0';
        require(next >= first && next <= last, HeadDefect.INVALID_STATUS);
    }

    private boolean reason(int next) {
        require(position > STATUS_END || next == ' ' || next == '\r' || next == '\n', HeadDefect.INVALID_STATUS);
        require(!detector.accept(next), HeadDefect.STATUS_LINE_INSIDE);
        if (next == '\n') {
            return true;
        }
        require(!carriageReturn, HeadDefect.INVALID_VALUE);
        carriageReturn = next == '\r';
        require(carriageReturn || HeaderLineChecker.text(next), HeadDefect.INVALID_VALUE);
        position = STATUS_END + 1;
        return false;
    }

    private static void require(boolean legal, HeadDefect defect) {
        if (!legal) {
            throw new MalformedResponseException(defect);
        }
    }
}
