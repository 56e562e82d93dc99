package org.radishpass.routing.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * Cuts a stream of server-sent events into whole events, and remembers the last one that was passed on.
 *
 * <p>Only whole events are passed on, so that the stream can go on elsewhere after a break in the middle of one. Events up
 * to the last one passed on are dropped when they come again.
 */
final class EventFrames {
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final String ID_FIELD = "id:";
    private static final long NO_EVENT = Long.MIN_VALUE;

    private ByteBuf partial = Unpooled.EMPTY_BUFFER;
    private @Nullable String lastId;
    private long lastNumber = NO_EVENT;
    private long eventsPassed;

    /**
     * Takes bytes and returns the whole events that they complete; empty if none.
     *
     * @param part the bytes; released here
     * @param allocator makes buffers
     */
    ByteBuf take(ByteBuf part, ByteBufAllocator allocator) {
        ByteBuf bytes = joined(part, allocator);
        ByteBuf whole = allocator.buffer(bytes.readableBytes());
        int start = bytes.readerIndex();
        int end = endOfEvent(bytes, start);
        while (end >= 0) {
            pass(bytes, start, end, whole);
            start = end;
            end = endOfEvent(bytes, start);
        }
        bytes.readerIndex(start);
        partial = bytes;
        return whole;
    }

    /** Returns the id of the last event that was passed on, or null. */
    @Nullable
    String lastId() {
        return lastId;
    }

    /** Returns how many events were passed on. */
    long eventsPassed() {
        return eventsPassed;
    }

    /** Tells whether the bytes so far end in the middle of an event. */
    boolean insideEvent() {
        return partial.isReadable();
    }

    /** Forgets a started event: its run has broken off. */
    void dropPartial() {
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

    private void pass(ByteBuf bytes, int start, int end, ByteBuf whole) {
        String id = idOf(bytes.toString(start, end - start, StandardCharsets.US_ASCII));
        if (id != null) {
            long number = number(id);
            if (number != NO_EVENT && lastNumber != NO_EVENT && number <= lastNumber) {
                return;
            }
            lastId = id;
            lastNumber = number;
        }
        eventsPassed++;
        whole.writeBytes(bytes, start, end - start);
    }

    private static @Nullable String idOf(String event) {
        int at = event.startsWith(ID_FIELD) ? 0 : event.indexOf("\n" + ID_FIELD) + 1;
        if (at == 0 && !event.startsWith(ID_FIELD)) {
            return null;
        }
        int end = event.indexOf('\n', at);
        return event.substring(at + ID_FIELD.length(), end < 0 ? event.length() : end)
                .strip();
    }

    private static long number(String id) {
        try {
            return Long.parseLong(id);
        } catch (NumberFormatException e) {
            // an id need not be a number: then repeated events cannot be told apart, and all are passed on
            return NO_EVENT;
        }
    }

    /** Returns the index after the empty line that ends the event, or -1. */
    private static int endOfEvent(ByteBuf bytes, int start) {
        int from = start;
        while (true) {
            int feed = bytes.indexOf(from, bytes.writerIndex(), LINE_FEED);
            if (feed < 0 || feed + 1 >= bytes.writerIndex()) {
                return -1;
            }
            if (bytes.getByte(feed + 1) == LINE_FEED) {
                return feed + 2;
            }
            if (bytes.getByte(feed + 1) == CARRIAGE_RETURN
                    && feed + 2 < bytes.writerIndex()
                    && bytes.getByte(feed + 2) == LINE_FEED) {
                return feed + 3;
            }
            from = feed + 1;
        }
    }
}
