package org.radishpass.routing.framing;

import io.netty.buffer.ByteBuf;

/** Checks the lines between the chunks of a body, in any parts, and its trailers. */
final class ChunkedBodyChecker {
    private static final int HEXADECIMAL = 16;

    /** The size in bytes of the largest chunk that is accepted. */
    private static final long MAX_SIZE = 0xfff_ffff;

    private enum State {
        SIZE,
        AFTER_SIZE,
        EXTENSION,
        SIZE_LINE_END,
        DATA,
        DATA_END,
        DATA_LINE_END,
        TRAILERS,
        ENDED
    }

    private final HeaderLineChecker trailers = new HeaderLineChecker(new LengthHeaders());
    private State state = State.SIZE;
    private int digits;
    private long size;

    /** Prepares for the next body. */
    void reset() {
        trailers.reset();
        state = State.SIZE;
        digits = 0;
        size = 0;
    }

    /** Tells whether the body is complete. */
    boolean ended() {
        return state == State.ENDED;
    }

    /**
     * Checks the next bytes.
     *
     * @return the index behind the last byte that belongs to the body
     */
    int check(ByteBuf bytes, int from, int to) {
        int index = from;
        while (index < to && state != State.ENDED) {
            if (state == State.DATA) {
                int taken = (int) Math.min(size, to - index);
                size -= taken;
                index += taken;
                state = size == 0 ? State.DATA_END : State.DATA;
            } else {
                state = accept(bytes.getByte(index));
                index++;
            }
        }
        return index;
    }

    private State accept(int next) {
        return switch (state) {
            case SIZE -> size(next);
            case AFTER_SIZE -> afterSize(next);
            case EXTENSION -> extension(next);
            case SIZE_LINE_END -> sizeLineEnd(next);
            case DATA_END, DATA_LINE_END -> dataEnd(next);
            default -> trailers.accept(next) ? State.ENDED : State.TRAILERS;
        };
    }

    private State size(int next) {
        int digit = Character.digit(next, HEXADECIMAL);
        if (digit >= 0) {
            digits++;
            size = size * HEXADECIMAL + digit;
            require(size <= MAX_SIZE);
            return State.SIZE;
        }
        require(digits > 0);
        return afterSize(next);
    }

    private State afterSize(int next) {
        return switch (next) {
            case '\r' -> State.SIZE_LINE_END;
            case '\n' -> sizeLineEnd(next);
            case ';' -> State.EXTENSION;
            default -> {
                require(next == ' ' || next == '\t');
                yield State.AFTER_SIZE;
            }
        };
    }

    private State extension(int next) {
        if (next == '\r') {
            return State.SIZE_LINE_END;
        }
        if (next == '\n') {
            return sizeLineEnd(next);
        }
        require(HeaderLineChecker.text(next));
        return State.EXTENSION;
    }

    private State sizeLineEnd(int next) {
        require(next == '\n');
        digits = 0;
        return size == 0 ? State.TRAILERS : State.DATA;
    }

    private State dataEnd(int next) {
        if (state == State.DATA_END && next == '\r') {
            return State.DATA_LINE_END;
        }
        require(next == '\n');
        return State.SIZE;
    }

    private static void require(boolean legal) {
        if (!legal) {
            throw new MalformedResponseException(HeadDefect.INVALID_CHUNK);
        }
    }
}
