package org.radishpass.routing.framing;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;

/**
 * Finds the boundaries of events in a stream of server-sent events that arrives in parts. Lines may end with LF, CR or CRLF
 * (HTML standard, section 9.2.5).
 */
final class EventStreamScanner {
    /** The index that {@link #nextBoundary} returns if there is no further boundary. */
    static final int NONE = -1;

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte COMMENT = ':';
    private static final byte[] BYTE_ORDER_MARK = {(byte) 0xEF, (byte) 0xBB, (byte) 0xBF};

    private int markBytes;
    private boolean markPassed;
    private boolean lineEmpty = true;
    private boolean afterCarriageReturn;
    private boolean insideEvent;
    private boolean fieldSeen;
    private boolean restOfLineEnd;
    private long events;

    /**
     * Returns the index after the next boundary between two events, or {@link #NONE}. All bytes up to there, or else all
     * bytes, count as scanned.
     *
     * @param bytes the bytes
     * @param from the index of the first byte that has not been scanned
     * @param to the index after the last byte
     */
    int nextBoundary(ByteBuf bytes, int from, int to) {
        int index = skipByteOrderMark(bytes, from, to);
        restOfLineEnd = false;
        if (index < to && endsCarriageReturn(bytes, index)) {
            index++;
            if (!insideEvent) {
                restOfLineEnd = true;
                return index;
            }
        }
        while (index < to) {
            int lineEnd = bytes.forEachByte(index, to - index, ByteProcessor.FIND_CRLF);
            addToLine(bytes, index, lineEnd < 0 ? to : lineEnd);
            if (lineEnd < 0) {
                return NONE;
            }
            afterCarriageReturn = bytes.getByte(lineEnd) == CARRIAGE_RETURN;
            index = lineEnd + 1;
            if (endLine()) {
                return index;
            }
            if (index < to && endsCarriageReturn(bytes, index)) {
                index++;
            }
        }
        return NONE;
    }

    /**
     * Tells whether the last boundary found is the line feed of a CRLF whose carriage return was a boundary already. It
     * belongs to the event before.
     */
    boolean restOfLineEnd() {
        return restOfLineEnd;
    }

    /** Returns the number of complete events. Comments by themselves are not events. */
    long events() {
        return events;
    }

    /** Returns where the bytes scanned so far end. */
    EventPosition position() {
        if (insideEvent) {
            return EventPosition.INSIDE_EVENT;
        }
        return events == 0 ? EventPosition.BEFORE_FIRST_EVENT : EventPosition.BETWEEN_EVENTS;
    }

    /** Returns the length in bytes of the byte order mark with which the bytes begin; 0 if there is none. */
    static int byteOrderMarkLength(ByteBuf bytes) {
        if (bytes.readableBytes() < BYTE_ORDER_MARK.length) {
            return 0;
        }
        for (int index = 0; index < BYTE_ORDER_MARK.length; index++) {
            if (bytes.getByte(bytes.readerIndex() + index) != BYTE_ORDER_MARK[index]) {
                return 0;
            }
        }
        return BYTE_ORDER_MARK.length;
    }

    private int skipByteOrderMark(ByteBuf bytes, int from, int to) {
        int index = from;
        while (!markPassed && index < to) {
            if (bytes.getByte(index) != BYTE_ORDER_MARK[markBytes]) {
                markPassed = true;
                lineEmpty = markBytes == 0; // the beginning of a mark without its end is part of the first line
                fieldSeen = markBytes > 0;
                break;
            }
            index++;
            markBytes++;
            markPassed = markBytes == BYTE_ORDER_MARK.length;
            insideEvent = !markPassed;
        }
        return index;
    }

    private boolean endsCarriageReturn(ByteBuf bytes, int index) {
        boolean continued = afterCarriageReturn && bytes.getByte(index) == LINE_FEED;
        afterCarriageReturn = false;
        return continued;
    }

    private void addToLine(ByteBuf bytes, int from, int to) {
        if (from == to) {
            return;
        }
        if (lineEmpty) {
            fieldSeen = fieldSeen || bytes.getByte(from) != COMMENT;
        }
        lineEmpty = false;
        insideEvent = true;
    }

    /** Ends the current line, and returns whether it is the empty line that ends an event. */
    private boolean endLine() {
        if (!lineEmpty) {
            lineEmpty = true;
            return false;
        }
        if (fieldSeen) {
            events++;
        }
        fieldSeen = false;
        insideEvent = false;
        return true;
    }
}
