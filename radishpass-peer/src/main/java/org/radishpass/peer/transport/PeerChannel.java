package org.radishpass.peer.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.radishpass.peer.message.Envelope;
import org.radishpass.peer.message.PeerCodec;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.runtime.metrics.TrafficMeter;
import org.radishpass.runtime.transfer.TransferProgress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.Connection;

/**
 * One connection to a peer, in either direction.
 *
 * <p>Bytes that are not a message cost this connection alone.
 *
 * @since 0.1.0
 */
final class PeerChannel {
    private static final Logger LOG = LoggerFactory.getLogger(PeerChannel.class);
    private static final int MAX_FRAME = 8 * 1024 * 1024;
    private static final int LENGTH_BYTES = 4;
    private static final String UNKNOWN_PEER = "";

    /** Milliseconds after a deadline until the connections have been looked at once more. */
    private static final long LAST_LOOK_MILLIS = 5;

    private final Channel channel;
    private final PeerHandler handler;
    private final TrafficMeter meter;
    private final Consumer<PeerChannel> whenClosed;
    private final AtomicLong lastId = new AtomicLong();
    private final ConcurrentHashMap<Long, Sinks.One<PeerMessage>> waiting = new ConcurrentHashMap<>();
    private final Set<TransferProgress> transfers = ConcurrentHashMap.newKeySet();
    private volatile String peerId;

    private PeerChannel(
            Channel channel, String peerId, PeerHandler handler, TrafficMeter meter, Consumer<PeerChannel> whenClosed) {
        this.channel = channel;
        this.peerId = peerId;
        this.handler = handler;
        this.meter = meter;
        this.whenClosed = whenClosed;
    }

    /**
     * Puts the framing onto a connection and starts reading.
     *
     * @param connection the connection
     * @param peerId the peer, or null if it has yet to say
     * @param handler takes what it sends
     * @param meter counts the bytes
     * @param whenClosed called when it has ended
     */
    static PeerChannel on(
            Connection connection,
            @Nullable String peerId,
            PeerHandler handler,
            TrafficMeter meter,
            Consumer<PeerChannel> whenClosed) {
        PeerChannel peer = new PeerChannel(
                connection.channel(), peerId == null ? UNKNOWN_PEER : peerId, handler, meter, whenClosed);
        connection.addHandlerLast("progress", peer.new Progress());
        connection.addHandlerLast(
                "frames-in", new LengthFieldBasedFrameDecoder(MAX_FRAME, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        connection.addHandlerLast("frames-out", new LengthFieldPrepender(LENGTH_BYTES));
        connection.inbound().receive().asByteArray().subscribe(peer::received, error -> peer.close(), peer::close);
        connection.onDispose(peer::closed);
        return peer;
    }

    /** Returns the peer; empty if it has not said yet. */
    String peerId() {
        return peerId;
    }

    boolean open() {
        return channel.isActive();
    }

    void send(PeerMessage message) {
        write(new Envelope(0, message));
    }

    Mono<PeerMessage> request(PeerMessage message, Duration patience) {
        long id = lastId.incrementAndGet();
        return ask(id, message).timeout(patience).doFinally(signal -> waiting.remove(id));
    }

    /** Waits for an answer as long as bytes come; a connection that has stopped in the middle of a message is closed. */
    Mono<PeerMessage> fetch(PeerMessage message) {
        TransferProgress progress = new TransferProgress(nowMillis());
        transfers.add(progress);
        long id = lastId.incrementAndGet();
        Mono<PeerMessage> answer = ask(id, message);
        channel.eventLoop().execute(() -> watch(id, progress, false));
        return answer.doFinally(signal -> {
            waiting.remove(id);
            transfers.remove(progress);
        });
    }

    private Mono<PeerMessage> ask(long id, PeerMessage message) {
        Sinks.One<PeerMessage> answer = Sinks.one();
        waiting.put(id, answer);
        write(new Envelope(id, message));
        if (!channel.isActive()) {
            answer.tryEmitError(new IOException("the connection has ended"));
        }
        return answer.asMono();
    }

    /**
     * Gives a transfer up when it stands still, after a last look at what has come meanwhile: this thread may not have had the processor for
     * a while.
     */
    private void watch(long id, TransferProgress progress, boolean lastLook) {
        Sinks.One<PeerMessage> answer = waiting.get(id);
        if (answer == null) {
            return;
        }
        long leftMillis = progress.deadlineMillis() - nowMillis();
        if (leftMillis >= 0 || !lastLook) {
            long pauseMillis = Math.max(0, leftMillis) + LAST_LOOK_MILLIS;
            var unused = channel.eventLoop()
                    .schedule(() -> watch(id, progress, leftMillis < 0), pauseMillis, TimeUnit.MILLISECONDS);
            return;
        }
        answer.tryEmitError(new IOException("given up after " + progress.bytes() + " bytes"));
        if (progress.bytes() > 0) {
            close();
        }
    }

    private void noteBytes(int count) {
        long nowMillis = nowMillis();
        transfers.forEach(progress -> progress.received(count, nowMillis));
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    void close() {
        var unused = channel.close();
    }

    private void closed() {
        IOException gone = new IOException("the connection has ended");
        waiting.values().forEach(answer -> answer.tryEmitError(gone));
        whenClosed.accept(this);
    }

    private void write(Envelope envelope) {
        try {
            byte[] bytes = PeerCodec.encode(envelope);
            meter.sent(envelope.message().kind(), bytes.length + LENGTH_BYTES);
            var unused = channel.writeAndFlush(Unpooled.wrappedBuffer(bytes), channel.voidPromise());
        } catch (IOException e) {
            LOG.error(
                    "a message of kind {} cannot be written", envelope.message().kind(), e);
        }
    }

    private void received(byte[] bytes) {
        Envelope envelope;
        try {
            envelope = PeerCodec.decode(bytes);
        } catch (IOException e) {
            LOG.warn(
                    "bytes from {} are not a message ({}); the connection is closed: {}",
                    channel.remoteAddress(),
                    e.getMessage(),
                    ByteBufUtil.hexDump(bytes, 0, Math.min(bytes.length, 32)));
            close();
            return;
        }
        meter.received(envelope.message().kind(), bytes.length + LENGTH_BYTES);
        accept(envelope);
    }

    private void accept(Envelope envelope) {
        if (envelope.answer()) {
            Sinks.One<PeerMessage> answer = waiting.remove(-envelope.id());
            if (answer != null) {
                answer.tryEmitValue(envelope.message());
            }
            return;
        }
        envelope.message().speaker().ifPresent(speaker -> peerId = speaker);
        handler.handle(peerId, envelope.message())
                .subscribe(
                        answer -> {
                            if (envelope.request()) {
                                write(new Envelope(-envelope.id(), answer));
                            }
                        },
                        error -> LOG.warn(
                                "a message of kind {} failed",
                                envelope.message().kind(),
                                error));
    }

    /** Counts bytes as they come, before they are whole messages. */
    private final class Progress extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof ByteBuf bytes) {
                noteBytes(bytes.readableBytes());
            }
            context.fireChannelRead(message);
        }
    }
}
