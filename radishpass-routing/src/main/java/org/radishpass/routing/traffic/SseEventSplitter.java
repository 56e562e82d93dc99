package org.radishpass.routing.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * Splits a stream of server-sent events into complete events, and remembers the last event that was forwarded.
 *
 * <p>Only complete events are forwarded, so that a stream that fails in the middle of an event can be resumed at
 * another endpoint. Events that a resumed stream repeats are dropped.
 */
final class SseEventSplitter {
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final String ID_FIELD = "id:";
    private static final long NO_NUMERIC_ID = Long.MIN_VALUE;

    private ByteBuf partial = Unpooled.EMPTY_BUFFER;
    private @Nullable String lastId;
    private long lastNumericId = NO_NUMERIC_ID;
    private long forwardedEvents;

    /**
     * Adds bytes of the stream, and returns the events that they complete; empty if none.
     *
     * @param part the bytes, which are released
     * @param allocator allocates the returned buffer
     */
    ByteBuf append(ByteBuf part, ByteBufAllocator allocator) {
        ByteBuf bytes = joined(part, allocator);
        ByteBuf completeEvents = allocator.buffer(bytes.readableBytes());
        int start = bytes.readerIndex();
        int end = endOfEvent(bytes, start);
        while (end >= 0) {
            forward(bytes, start, end, completeEvents);
            start = end;
            end = endOfEvent(bytes, start);
        }
        bytes.readerIndex(start);
        partial = bytes;
        return completeEvents;
    }

    /** Returns the id of the last event that was forwarded, or null. */
    @Nullable
    String lastId() {
        return lastId;
    }

    /** Returns the number of events that were forwarded. */
    long forwardedEvents() {
        return forwardedEvents;
    }

    /** Tells whether the bytes so far end in the middle of an event. */
    boolean hasPartialEvent() {
        return partial.isReadable();
    }

    /** Discards an incomplete event, since the attempt that sent it has failed. */
    void discardPartial() {
        partial.release();
        partial = Unpooled.EMPTY_BUFFER;
    }

    private ByteBuf joined(ByteBuf part, ByteBufAllocator allocator) {
        if (!partial.isReadable()) {
            partial.release();
            return part;
        }
        ByteBuf joined = allocator.buffer(partial.readableBytes() + part.readableBytes());
        joined.writeBytes(partial).writeBytes(part);
        partial.release();
        part.release();
        return joined;
    }

    private void forward(ByteBuf bytes, int start, int end, ByteBuf completeEvents) {
        String id = idOf(bytes, start, end);
        if (id != null) {
            long number = numericId(id);
            if (number != NO_NUMERIC_ID && lastNumericId != NO_NUMERIC_ID && number <= lastNumericId) {
                return;
            }
            lastId = id;
            lastNumericId = number;
        }
        forwardedEvents++;
        completeEvents.writeBytes(bytes, start, end - start);
    }

    /** Returns the id of an event, or null. Only the id is decoded, since an event may be long. */
    private static @Nullable String idOf(ByteBuf bytes, int start, int end) {
        int line = start;
        while (line + ID_FIELD.length() <= end) {
            int lineFeed = bytes.indexOf(line, end, LINE_FEED);
            int lineEnd = lineFeed < 0 ? end : lineFeed;
            if (startsWithIdField(bytes, line, lineEnd)) {
                int value = line + ID_FIELD.length();
                return bytes.toString(value, lineEnd - value, StandardCharsets.US_ASCII)
                        .strip();
            }
            line = lineEnd + 1;
        }
        return null;
    }

    private static boolean startsWithIdField(ByteBuf bytes, int line, int lineEnd) {
        if (lineEnd - line < ID_FIELD.length()) {
            return false;
        }
        for (int index = 0; index < ID_FIELD.length(); index++) {
            if (bytes.getByte(line + index) != ID_FIELD.charAt(index)) {
                return false;
            }
        }
        return true;
    }

    private static long numericId(String id) {
        try {
            return Long.parseLong(id);
        } catch (NumberFormatException e) {
            // ids need not be numeric; repeated events are then not detected, and all events are forwarded
            return NO_NUMERIC_ID;
        }
    }

    /** Returns the index after the empty line that ends the event, or -1 if the event is incomplete. */
    private static int endOfEvent(ByteBuf bytes, int start) {
        int from = start;
        while (true) {
            int lineFeed = bytes.indexOf(from, bytes.writerIndex(), LINE_FEED);
            if (lineFeed < 0 || lineFeed + 1 >= bytes.writerIndex()) {
                return -1;
            }
            if (bytes.getByte(lineFeed + 1) == LINE_FEED) {
                return lineFeed + 2;
            }
            if (bytes.getByte(lineFeed + 1) == CARRIAGE_RETURN
                    && lineFeed + 2 < bytes.writerIndex()
                    && bytes.getByte(lineFeed + 2) == LINE_FEED) {
                return lineFeed + 3;
            }
            from = lineFeed + 1;
        }
    }
}
