package org.radishpass.routing.framing;

/** Checks header or trailer lines byte by byte up to the empty line, and hands each line on to {@link LengthHeaders}. */
final class HeaderLineChecker {
    private static final String TOKEN_CHARACTERS = "!#$%&'*+-.^_`|~";
    private static final int DELETE = 0x7f;

    private enum State {
        LINE_BEGIN,
        NAME,
        VALUE,
        LINE_END,
        BLOCK_END
    }

    private final StatusLineDetector detector = new StatusLineDetector();
    private final LengthHeaders lengths;
    private State state = State.LINE_BEGIN;

    HeaderLineChecker(LengthHeaders lengths) {
        this.lengths = lengths;
    }

    /** Prepares for the next block of lines. */
    void reset() {
        detector.reset();
        lengths.reset();
        state = State.LINE_BEGIN;
    }

    /** Takes the next byte and tells whether it ends the block. */
    boolean accept(int next) {
        if (detector.accept(next)) {
            throw new MalformedResponseException(HeadDefect.STATUS_LINE_INSIDE);
        }
        switch (state) {
            case LINE_BEGIN -> {
                return lineBegin(next);
            }
            case NAME -> name(next);
            case VALUE -> value(next);
            case LINE_END -> lineEnd(next);
            case BLOCK_END -> {
                return blockEnd(next);
            }
        }
        return false;
    }

    /** Tells whether a byte may stand in a reason or a value. */
    static boolean text(int next) {
        return next < 0 || (next >= ' ' && next != DELETE) || next == '\t';
    }

    private boolean lineBegin(int next) {
        if (next == '\n') {
            return true;
        }
        if (next == '\r') {
            state = State.BLOCK_END;
            return false;
        }
        if (next == ' ' || next == '\t') {
            throw new MalformedResponseException(HeadDefect.FOLDED_LINE);
        }
        if (next == ':') {
            throw new MalformedResponseException(HeadDefect.INVALID_NAME);
        }
        detector.reset();
        detector.accept(next);
        state = State.NAME;
        lengths.beginLine();
        name(next);
        return false;
    }

    private void name(int next) {
        if (next == ':') {
            state = State.VALUE;
            lengths.endName();
        } else if (token(next)) {
            lengths.name(next);
        } else {
            throw new MalformedResponseException(nameDefect(next));
        }
    }

    private HeadDefect nameDefect(int next) {
        return switch (next) {
            case '\r', '\n' -> HeadDefect.LINE_WITHOUT_COLON;
            case ' ', '\t' -> HeadDefect.SPACE_BEFORE_COLON;
            case '/' -> lengths.nameEndsLikeVersion() ? HeadDefect.STATUS_LINE_INSIDE : HeadDefect.INVALID_NAME;
            default -> HeadDefect.INVALID_NAME;
        };
    }

    private void value(int next) {
        if (next == '\n') {
            lineEnd(next);
        } else if (next == '\r') {
            state = State.LINE_END;
        } else if (text(next)) {
            lengths.value(next);
        } else {
            throw new MalformedResponseException(HeadDefect.INVALID_VALUE);
        }
    }

    private void lineEnd(int next) {
        if (next != '\n') {
            throw new MalformedResponseException(HeadDefect.INVALID_VALUE);
        }
        lengths.endLine();
        state = State.LINE_BEGIN;
    }

    private static boolean blockEnd(int next) {
        if (next != '\n') {
            throw new MalformedResponseException(HeadDefect.INVALID_VALUE);
        }
        return true;
    }

    private static boolean token(int next) {
        return (next >= 'a' && next <= 'z')
                || (next >= 'A' && next <= 'Z')
                || (next >= '0' && next <= '9')
                || (next > 0 && TOKEN_CHARACTERS.indexOf(next) >= 0);
    }
}
