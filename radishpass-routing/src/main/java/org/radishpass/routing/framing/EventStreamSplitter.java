package org.radishpass.routing.framing;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import org.jspecify.annotations.Nullable;

/**
 * Splits a stream of server-sent events into complete events, and remembers the last event that was forwarded.
 *
 * <p>Incomplete events are held back as the {@link HoldPolicy} says. Events that a resumed stream repeats are dropped.
 *
 * @since 0.10.0
 */
public final class EventStreamSplitter {
    /**
     * Size up to which an incomplete event is held back, in bytes. A longer one is forwarded as it arrives, after which a
     * stream that ends inside it cannot be resumed.
     */
    static final int MAX_HELD_BYTES = 1_048_576;

    private final HoldPolicy policy;
    private EventStreamScanner scanner = new EventStreamScanner();
    private ByteBuf held = Unpooled.EMPTY_BUFFER;
    private Fate fate = Fate.HELD;
    private Fate lastFate = Fate.FORWARDED;
    private final ForwardedIds forwardedIds = new ForwardedIds();
    private long forwardedEvents;
    private boolean resumable = true;
    private boolean continuationUnproven;
    private boolean foreign;

    /** Creates a splitter of a stream of which nothing has been received. */
    public EventStreamSplitter(HoldPolicy policy) {
        this.policy = policy;
    }

    /**
     * Adds bytes of the stream, and returns those that can be forwarded; empty if none.
     *
     * @param part the bytes, which are released
     * @param allocator allocates the returned buffer
     */
    public ByteBuf append(ByteBuf part, ByteBufAllocator allocator) {
        if (foreign) {
            part.release();
            return Unpooled.EMPTY_BUFFER;
        }
        if (fate == Fate.FORWARDED && !policy.holdsAfter(scanner.events())) {
            scanToEnd(part);
            return part;
        }
        ByteBuf forwarded = allocator.buffer(held.readableBytes() + part.readableBytes());
        int from = part.readerIndex();
        int to = part.writerIndex();
        int boundary = scanner.nextBoundary(part, from, to);
        while (boundary >= 0 && !foreign) {
            endEvent(part, from, boundary, forwarded);
            from = boundary;
            boundary = scanner.nextBoundary(part, from, to);
        }
        if (from < to && !foreign) {
            continueEvent(part, from, to, forwarded);
        }
        part.release();
        return forwarded;
    }

    /** Returns the bytes that are held back although no event has begun, such as a byte order mark alone. */
    public ByteBuf takeRest() {
        ByteBuf rest = held;
        held = Unpooled.EMPTY_BUFFER;
        return rest;
    }

    /** Returns the id of the last event that was forwarded, or null. */
    public @Nullable String lastId() {
        return forwardedIds.last();
    }

    /** Returns the number of events that were forwarded. */
    public long forwardedEvents() {
        return forwardedEvents;
    }

    /** Returns where the bytes of the current attempt end. */
    public EventPosition position() {
        return scanner.position();
    }

    /**
     * Tells whether the current attempt was to continue the stream and sent something else. Nothing of it is forwarded.
     *
     * @since 0.12.0
     */
    public boolean foreign() {
        return foreign;
    }

    /** Tells whether another attempt can continue the stream after the last complete event. */
    public boolean resumable() {
        return resumable;
    }

    /** Discards an incomplete event, since the attempt that sent it has failed, and expects the stream of another attempt. */
    public void discardPartial() {
        held.release();
        held = Unpooled.EMPTY_BUFFER;
        resumable = resumable && fate != Fate.FORWARDED;
        scanner = new EventStreamScanner();
        fate = policy.holdsAfter(forwardedEvents) ? Fate.HELD : Fate.FORWARDED;
        lastFate = Fate.FORWARDED;
        continuationUnproven = forwardedIds.last() != null;
        foreign = false;
    }

    private void scanToEnd(ByteBuf part) {
        long eventsBefore = scanner.events();
        int from = part.readerIndex();
        while (from >= 0) {
            from = scanner.nextBoundary(part, from, part.writerIndex());
        }
        forwardedEvents += scanner.events() - eventsBefore;
    }

    private void endEvent(ByteBuf bytes, int from, int to, ByteBuf forwarded) {
        if (scanner.restOfLineEnd()) {
            write(lastFate, bytes, from, to, forwarded);
            return;
        }
        if (fate == Fate.HELD) {
            hold(bytes, from, to);
            lastFate = decide();
            release(lastFate, forwarded);
        } else {
            lastFate = fate;
            write(fate, bytes, from, to, forwarded);
        }
        if (lastFate == Fate.FORWARDED) {
            forwardedEvents++;
        }
        fate = policy.holdsAfter(scanner.events()) ? Fate.HELD : Fate.FORWARDED;
    }

    private void continueEvent(ByteBuf bytes, int from, int to, ByteBuf forwarded) {
        if (fate != Fate.HELD) {
            write(fate, bytes, from, to, forwarded);
            return;
        }
        hold(bytes, from, to);
        if (held.readableBytes() > MAX_HELD_BYTES) {
            fate = decideEarly();
            release(fate, forwarded);
        }
    }

    /** Decides about an event by its id. The first event of a continuation must have one that shows what it continues. */
    private Fate decide() {
        EventIdentity identity = forwardedIds.add(held);
        if (identity == EventIdentity.UNIDENTIFIED) {
            return ForwardedIds.repeatable(held) ? Fate.FORWARDED : decideUnidentified();
        }
        return decideIdentified(identity);
    }

    /** Decides about an event that is too long to be held back, by its beginning. An id further on would not be known. */
    private Fate decideEarly() {
        EventIdentity identity = forwardedIds.add(held);
        return identity == EventIdentity.UNIDENTIFIED ? decideUnidentified() : decideIdentified(identity);
    }

    private Fate decideIdentified(EventIdentity identity) {
        continuationUnproven = false;
        return identity == EventIdentity.NEW ? Fate.FORWARDED : Fate.DROPPED;
    }

    /** Decides about an event without an id, after which a stream cannot be resumed: it would be sent again. */
    private Fate decideUnidentified() {
        foreign = continuationUnproven;
        resumable = resumable && foreign;
        return foreign ? Fate.DROPPED : Fate.FORWARDED;
    }

    private void hold(ByteBuf bytes, int from, int to) {
        if (!held.isReadable()) {
            held = bytes.alloc().buffer(to - from);
        }
        held.writeBytes(bytes, from, to - from);
    }

    private void release(Fate decided, ByteBuf forwarded) {
        write(decided, held, held.readerIndex() + repeatedMark(), held.writerIndex(), forwarded);
        held.release();
        held = Unpooled.EMPTY_BUFFER;
    }

    /** Returns the length of a byte order mark that must not be forwarded because it is not the first one. */
    private int repeatedMark() {
        return forwardedEvents > 0 ? EventStreamScanner.byteOrderMarkLength(held) : 0;
    }

    private static void write(Fate decided, ByteBuf bytes, int from, int to, ByteBuf forwarded) {
        if (decided == Fate.FORWARDED) {
            forwarded.writeBytes(bytes, from, to - from);
        }
    }

    /** What becomes of the bytes of one event. */
    private enum Fate {
        HELD,
        FORWARDED,
        DROPPED
    }
}
