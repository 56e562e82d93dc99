package org.radishpass.routing.framing;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/** The ids of the events that were forwarded, by which an event that is sent again is recognized. */
final class ForwardedIds {
    private static final String ID_FIELD = "id:";
    private static final String RETRY_FIELD = "retry:";
    private static final byte COMMENT = ':';
    private static final long NO_NUMERIC_ID = Long.MIN_VALUE;

    private @Nullable String last;
    private long lastNumeric = NO_NUMERIC_ID;

    /** Returns the id of the last event that was forwarded, or null. */
    @Nullable
    String last() {
        return last;
    }

    /**
     * Adds an event, unless it has been forwarded already.
     *
     * @param event the event, or a beginning of it that contains the id
     */
    EventIdentity add(ByteBuf event) {
        String id = idOf(event);
        if (id == null) {
            return EventIdentity.UNIDENTIFIED;
        }
        long number = numericId(id);
        boolean numeric = number != NO_NUMERIC_ID && lastNumeric != NO_NUMERIC_ID;
        if (numeric && number <= lastNumeric) {
            return EventIdentity.REPEATED;
        }
        last = id;
        lastNumeric = number;
        return EventIdentity.NEW;
    }

    /** Tells whether the lines of an event are comments or reconnection times only, which may be sent any number of times. */
    static boolean repeatable(ByteBuf event) {
        int line = event.readerIndex() + EventStreamScanner.byteOrderMarkLength(event);
        int end = event.writerIndex();
        while (line < end) {
            int found = event.forEachByte(line, end - line, ByteProcessor.FIND_CRLF);
            int lineEnd = found < 0 ? end : found;
            boolean blank = line == lineEnd;
            if (!blank && event.getByte(line) != COMMENT && !startsWith(event, line, lineEnd, RETRY_FIELD)) {
                return false;
            }
            line = lineEnd + 1;
        }
        return true;
    }

    /** Returns the id of an event, or null. Only the id is decoded, since an event may be long. */
    private static @Nullable String idOf(ByteBuf event) {
        int line = event.readerIndex() + EventStreamScanner.byteOrderMarkLength(event);
        int end = event.writerIndex();
        String id = null;
        while (line + ID_FIELD.length() <= end) {
            int found = event.forEachByte(line, end - line, ByteProcessor.FIND_CRLF);
            int lineEnd = found < 0 ? end : found;
            if (found >= 0 && startsWith(event, line, lineEnd, ID_FIELD)) {
                int value = line + ID_FIELD.length();
                id = event.toString(value, lineEnd - value, StandardCharsets.US_ASCII)
                        .strip();
            }
            line = lineEnd + 1;
        }
        return id;
    }

    private static boolean startsWith(ByteBuf bytes, int line, int lineEnd, String field) {
        if (lineEnd - line < field.length()) {
            return false;
        }
        for (int index = 0; index < field.length(); index++) {
            if (bytes.getByte(line + index) != field.charAt(index)) {
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
}
