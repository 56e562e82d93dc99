package org.radishpass.routing.control;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.radishpass.routing.testing.VirtualScheduler;

/**
 * Links of limited bandwidth in virtual time. What a machine sends at the same moment over several connections shares its link evenly;
 * what goes over one connection keeps its order.
 */
final class VirtualNetwork {
    /** Bytes that a connection sends before the next one has its turn: about ten packets. */
    private static final int SEGMENT_BYTES = 16_384;

    /** Bytes of a connection that may be on their way at a time: the receiver's window. */
    private static final int WINDOW_BYTES = 131_072;

    /** One way between two machines, in microseconds. */
    private static final long LATENCY_MICROS = 500;

    private static final double BITS = 8;

    private final VirtualScheduler scheduler;
    private final Map<String, Pipe> outgoing = new HashMap<>();
    private final Map<String, Pipe> incoming = new HashMap<>();
    private final Map<String, Long> sentBytes = new HashMap<>();

    VirtualNetwork(VirtualScheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Connects a machine. */
    void add(String machine, double megabits) {
        outgoing.put(machine, new Pipe(megabits));
        incoming.put(machine, new Pipe(megabits));
        sentBytes.put(machine, 0L);
    }

    /** Returns the bytes that a machine has sent. */
    long sentBytes(String machine) {
        return sentBytes.getOrDefault(machine, 0L);
    }

    /** Cuts a machine off, or mends its link: what is under way meanwhile comes late. */
    void cut(String machine, boolean cut) {
        pipe(outgoing, machine).cut(cut);
        pipe(incoming, machine).cut(cut);
    }

    /** Tells whether a connection between two machines can be opened now. */
    boolean reaches(String from, String to) {
        return outgoing.containsKey(to) && !pipe(outgoing, from).cut && !pipe(incoming, to).cut;
    }

    private static Pipe pipe(Map<String, Pipe> pipes, String machine) {
        return Objects.requireNonNull(pipes.get(machine), machine);
    }

    /** Opens one direction of a connection. */
    Connection connect(String from, String to) {
        return new Connection(from, to);
    }

    /** One direction of a connection. */
    final class Connection {
        private final String from;
        private final String to;
        private final Deque<Message> messages = new ArrayDeque<>();
        private int onTheWay;
        private boolean queued;
        private boolean closed;

        private Connection(String from, String to) {
            this.from = from;
            this.to = to;
        }

        /**
         * Sends a message.
         *
         * @param bytes its size
         * @param progress hears of the bytes that have come, part by part
         * @param whole called when all of it has come
         */
        void send(int bytes, LongConsumer progress, Runnable whole) {
            sentBytes.merge(from, (long) bytes, Long::sum);
            messages.add(new Message(bytes, progress, whole));
            pipe(outgoing, from).wants(this);
        }

        /** Ends it: what has not left yet is lost. */
        void close() {
            closed = true;
            messages.clear();
        }

        private boolean idle() {
            return messages.isEmpty() || onTheWay >= WINDOW_BYTES;
        }

        private int takeSegment() {
            return messages.isEmpty() ? 0 : Math.min(SEGMENT_BYTES, messages.peek().unsent);
        }

        private void segmentSent(int bytes) {
            Message message = messages.peek();
            if (message == null) {
                return;
            }
            message.unsent -= bytes;
            onTheWay += bytes;
            if (message.unsent == 0) {
                messages.remove();
            }
            scheduler.schedule(
                    () -> pipe(incoming, to).receive(bytes, () -> arrived(message, bytes)),
                    LATENCY_MICROS,
                    TimeUnit.MICROSECONDS);
        }

        private void arrived(Message message, int bytes) {
            if (closed) {
                return;
            }
            onTheWay -= bytes;
            if (!idle()) {
                pipe(outgoing, from).wants(this);
            }
            message.unreceived -= bytes;
            message.progress.accept(bytes);
            if (message.unreceived == 0) {
                message.whole.run();
            }
        }
    }

    /** A message under way. */
    private static final class Message {
        private final LongConsumer progress;
        private final Runnable whole;
        private int unsent;
        private int unreceived;

        private Message(int bytes, LongConsumer progress, Runnable whole) {
            this.unsent = bytes;
            this.unreceived = bytes;
            this.progress = progress;
            this.whole = whole;
        }
    }

    /** One direction of a machine's link. */
    private final class Pipe {
        private final double bytesPerNano;
        private final Deque<Connection> turns = new ArrayDeque<>();
        private final Deque<Runnable> held = new ArrayDeque<>();
        private long freeAtNanos;
        private boolean busy;
        private boolean cut;

        private Pipe(double megabits) {
            this.bytesPerNano = megabits * 1e6 / BITS / TimeUnit.SECONDS.toNanos(1);
        }

        private void cut(boolean now) {
            cut = now;
            if (!now) {
                while (!held.isEmpty()) {
                    held.remove().run();
                }
                next();
            }
        }

        private void wants(Connection connection) {
            if (!connection.queued && !connection.idle()) {
                connection.queued = true;
                turns.add(connection);
            }
            next();
        }

        private void next() {
            if (busy || cut || turns.isEmpty()) {
                return;
            }
            Connection connection = turns.remove();
            int bytes = connection.takeSegment();
            busy = true;
            scheduler.schedule(
                    () -> {
                        busy = false;
                        connection.queued = false;
                        connection.segmentSent(bytes);
                        if (!connection.idle()) {
                            wants(connection);
                        }
                        next();
                    },
                    nanos(bytes),
                    TimeUnit.NANOSECONDS);
        }

        private void receive(int bytes, Runnable taken) {
            freeAtNanos = Math.max(freeAtNanos, scheduler.nanos()) + nanos(bytes);
            scheduler.schedule(() -> take(taken), freeAtNanos - scheduler.nanos(), TimeUnit.NANOSECONDS);
        }

        private void take(Runnable taken) {
            if (cut) {
                held.add(taken);
            } else {
                taken.run();
            }
        }

        private long nanos(int bytes) {
            return Math.max(Duration.ofNanos(1).toNanos(), (long) (bytes / bytesPerNano));
        }
    }
}
