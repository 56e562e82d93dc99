package org.radishpass.routing.exchange;

import io.netty.buffer.ByteBuf;

/** Tells from the first bytes behind a response, which may come in parts, whether another response begins there. */
final class SurplusScan {
    private static final String RESPONSE_BEGIN = "HTTP/1.";

    /** The characters of a version and a status. */
    private static final int MAX_SHOWN = 12;

    private final StringBuilder shown = new StringBuilder();
    private int bytes;
    private boolean other;

    void accept(ByteBuf buffer) {
        bytes += buffer.readableBytes();
        for (int index = buffer.readerIndex(); index < buffer.writerIndex() && undecided(); index++) {
            accept(buffer.getByte(index));
        }
    }

    /** Notes that the response in doubt had not ended. */
    void inDoubt() {
        other = true;
    }

    int bytes() {
        return bytes;
    }

    Surplus kind() {
        if (other) {
            return Surplus.OTHER;
        }
        return bytes == 0 ? Surplus.NONE : Surplus.RESPONSE_BEGIN;
    }

    /** Describes the bytes, with no more of them than the version and the status of a response. */
    String description() {
        if (other) {
            return "no begin of a response";
        }
        return shown.isEmpty() ? "line ends" : "begin of a response: " + shown;
    }

    private boolean undecided() {
        return !other && shown.length() < MAX_SHOWN;
    }

    private void accept(int next) {
        int position = shown.length();
        if (position == 0 && (next == '\r' || next == '\n')) {
            return;
        }
        if (position < RESPONSE_BEGIN.length()) {
            other = next != RESPONSE_BEGIN.charAt(position);
        }
        boolean printable = next >= ' ' && next < 0x7f;
        shown.append(printable ? (char) next : '?');
    }
}
