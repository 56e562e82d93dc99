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
 * Simulates links of limited bandwidth in virtual time. Connections that send at the same time share their machine's
 * link evenly, and each connection delivers its messages in order.
 */
final class VirtualNetwork {
    /** Bytes that a connection sends before it is the turn of the next one: about ten packets. */
    private static final int SEGMENT_BYTES = 16_384;

    /** Maximum bytes of a connection that are in flight at a time: the receive window. */
    private static final int WINDOW_BYTES = 131_072;

    /** Latency between two machines in one direction, in microseconds. */
    private static final long ONE_WAY_LATENCY_MICROS = 500;

    private static final double BITS_PER_BYTE = 8;

    private final VirtualScheduler scheduler;
    private final Map<String, Pipe> outgoing = new HashMap<>();
    private final Map<String, Pipe> incoming = new HashMap<>();
    private final Map<String, Long> sentBytes = new HashMap<>();

    VirtualNetwork(VirtualScheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Adds a machine with a link of the given bandwidth, in Mbit/s. */
    void add(String machine, double megabits) {
        outgoing.put(machine, new Pipe(megabits));
        incoming.put(machine, new Pipe(megabits));
        sentBytes.put(machine, 0L);
    }

    /** Returns the number of bytes that a machine has sent. */
    long sentBytes(String machine) {
        return sentBytes.getOrDefault(machine, 0L);
    }

    /** Cuts a machine off, or reconnects it. Data in flight is delivered after the reconnection. */
    void setCutOff(String machine, boolean cut) {
        pipe(outgoing, machine).cut(cut);
        pipe(incoming, machine).cut(cut);
    }

    /** Tells whether one machine can open a connection to another one now. */
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
        private int inFlightBytes;
        private boolean queued;
        private boolean closed;

        private Connection(String from, String to) {
            this.from = from;
            this.to = to;
        }

        /**
         * Sends a message.
         *
         * @param bytes the size of the message
         * @param progress receives the number of bytes of each part that arrives
         * @param onComplete called when the whole message has arrived
         */
        void send(int bytes, LongConsumer progress, Runnable onComplete) {
            sentBytes.merge(from, (long) bytes, Long::sum);
            messages.add(new Message(bytes, progress, onComplete));
            pipe(outgoing, from).enqueue(this);
        }

        /** Closes the connection. Data that has not been sent yet is lost. */
        void close() {
            closed = true;
            messages.clear();
        }

        private boolean cannotSend() {
            return messages.isEmpty() || inFlightBytes >= WINDOW_BYTES;
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
            inFlightBytes += bytes;
            if (message.unsent == 0) {
                messages.remove();
            }
            scheduler.schedule(
                    () -> pipe(incoming, to).receive(bytes, () -> arrived(message, bytes)),
                    ONE_WAY_LATENCY_MICROS,
                    TimeUnit.MICROSECONDS);
        }

        private void arrived(Message message, int bytes) {
            if (closed) {
                return;
            }
            inFlightBytes -= bytes;
            if (!cannotSend()) {
                pipe(outgoing, from).enqueue(this);
            }
            message.unreceived -= bytes;
            message.progress.accept(bytes);
            if (message.unreceived == 0) {
                message.onComplete.run();
            }
        }
    }

    /** A message in transit. */
    private static final class Message {
        private final LongConsumer progress;
        private final Runnable onComplete;
        private int unsent;
        private int unreceived;

        private Message(int bytes, LongConsumer progress, Runnable onComplete) {
            this.unsent = bytes;
            this.unreceived = bytes;
            this.progress = progress;
            this.onComplete = onComplete;
        }
    }

    /** One direction of a machine's link. */
    private final class Pipe {
        private final double bytesPerNano;
        private final Deque<Connection> sendQueue = new ArrayDeque<>();
        private final Deque<Runnable> delayedArrivals = new ArrayDeque<>();
        private long freeAtNanos;
        private boolean busy;
        private boolean cut;

        private Pipe(double megabits) {
            this.bytesPerNano = megabits * 1e6 / BITS_PER_BYTE / TimeUnit.SECONDS.toNanos(1);
        }

        private void cut(boolean cutOff) {
            cut = cutOff;
            if (!cutOff) {
                while (!delayedArrivals.isEmpty()) {
                    delayedArrivals.remove().run();
                }
                sendNext();
            }
        }

        private void enqueue(Connection connection) {
            if (!connection.queued && !connection.cannotSend()) {
                connection.queued = true;
                sendQueue.add(connection);
            }
            sendNext();
        }

        private void sendNext() {
            if (busy || cut || sendQueue.isEmpty()) {
                return;
            }
            Connection connection = sendQueue.remove();
            int bytes = connection.takeSegment();
            busy = true;
            scheduler.schedule(
                    () -> {
                        busy = false;
                        connection.queued = false;
                        connection.segmentSent(bytes);
                        if (!connection.cannotSend()) {
                            enqueue(connection);
                        }
                        sendNext();
                    },
                    nanos(bytes),
                    TimeUnit.NANOSECONDS);
        }

        private void receive(int bytes, Runnable arrival) {
            freeAtNanos = Math.max(freeAtNanos, scheduler.nanos()) + nanos(bytes);
            scheduler.schedule(() -> deliver(arrival), freeAtNanos - scheduler.nanos(), TimeUnit.NANOSECONDS);
        }

        private void deliver(Runnable arrival) {
            if (cut) {
                delayedArrivals.add(arrival);
            } else {
                arrival.run();
            }
        }

        private long nanos(int bytes) {
            return Math.max(Duration.ofNanos(1).toNanos(), (long) (bytes / bytesPerNano));
        }
    }
}
