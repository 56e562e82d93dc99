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
 * A connection to a peer, either dialled or accepted.
 *
 * <p>Malformed bytes close this connection only.
 *
 * @since 0.1.0
 */
final class PeerChannel {
    private static final Logger LOG = LoggerFactory.getLogger(PeerChannel.class);
    private static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;
    private static final int LENGTH_BYTES = 4;
    private static final String UNKNOWN_PEER = "";

    /** The time after a deadline until the progress of a transfer is checked once more. */
    private static final long RECHECK_DELAY_MILLIS = 5;

    private final Channel channel;
    private final PeerHandler handler;
    private final TrafficMeter meter;
    private final Consumer<PeerChannel> onClosed;
    private final AtomicLong lastId = new AtomicLong();
    private final ConcurrentHashMap<Long, Sinks.One<PeerMessage>> pendingResponses = new ConcurrentHashMap<>();
    private final Set<TransferProgress> transfers = ConcurrentHashMap.newKeySet();
    private volatile String peerId;

    private PeerChannel(
            Channel channel, String peerId, PeerHandler handler, TrafficMeter meter, Consumer<PeerChannel> onClosed) {
        this.channel = channel;
        this.peerId = peerId;
        this.handler = handler;
        this.meter = meter;
        this.onClosed = onClosed;
    }

    /**
     * Installs the framing on a connection and starts to read messages.
     *
     * @param connection the connection
     * @param peerId the id of the peer, or null if the peer has yet to introduce itself
     * @param handler handles the messages of the peer
     * @param meter counts the bytes sent and received
     * @param onClosed called when the connection has closed
     */
    static PeerChannel attach(
            Connection connection,
            @Nullable String peerId,
            PeerHandler handler,
            TrafficMeter meter,
            Consumer<PeerChannel> onClosed) {
        PeerChannel peer =
                new PeerChannel(connection.channel(), peerId == null ? UNKNOWN_PEER : peerId, handler, meter, onClosed);
        connection.addHandlerLast("progress", peer.new ByteCountingHandler());
        connection.addHandlerLast(
                "frames-in", new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        connection.addHandlerLast("frames-out", new LengthFieldPrepender(LENGTH_BYTES));
        connection.inbound().receive().asByteArray().subscribe(peer::received, error -> peer.close(), peer::close);
        connection.onDispose(peer::closed);
        return peer;
    }

    /** Returns the id of the peer; empty if the peer has not introduced itself yet. */
    String peerId() {
        return peerId;
    }

    boolean open() {
        return channel.isActive();
    }

    void send(PeerMessage message) {
        write(new Envelope(0, message));
    }

    Mono<PeerMessage> request(PeerMessage message, Duration timeout) {
        long id = lastId.incrementAndGet();
        return sendRequest(id, message).timeout(timeout).doFinally(signal -> pendingResponses.remove(id));
    }

    /**
     * Sends a request and waits for the response as long as bytes arrive. A connection that stalls within a message is
     * closed.
     */
    Mono<PeerMessage> fetch(PeerMessage message) {
        TransferProgress progress = new TransferProgress(nowMillis());
        transfers.add(progress);
        long id = lastId.incrementAndGet();
        Mono<PeerMessage> response = sendRequest(id, message);
        channel.eventLoop().execute(() -> failIfStalled(id, progress, false));
        return response.doFinally(signal -> {
            pendingResponses.remove(id);
            transfers.remove(progress);
        });
    }

    private Mono<PeerMessage> sendRequest(long id, PeerMessage message) {
        Sinks.One<PeerMessage> response = Sinks.one();
        pendingResponses.put(id, response);
        write(new Envelope(id, message));
        if (!channel.isActive()) {
            response.tryEmitError(new IOException("the connection has closed"));
        }
        return response.asMono();
    }

    /**
     * Fails a transfer that has stalled. An expired deadline is checked a second time after a short delay, because the
     * event loop may not have had the processor for a while and received bytes may still wait to be read.
     */
    private void failIfStalled(long id, TransferProgress progress, boolean recheck) {
        Sinks.One<PeerMessage> response = pendingResponses.get(id);
        if (response == null) {
            return;
        }
        long remainingMillis = progress.deadlineMillis() - nowMillis();
        if (remainingMillis >= 0 || !recheck) {
            long delayMillis = Math.max(0, remainingMillis) + RECHECK_DELAY_MILLIS;
            var unused = channel.eventLoop()
                    .schedule(
                            () -> failIfStalled(id, progress, remainingMillis < 0), delayMillis, TimeUnit.MILLISECONDS);
            return;
        }
        response.tryEmitError(new IOException("the transfer stalled after " + progress.bytes() + " bytes"));
        if (progress.bytes() > 0) {
            close();
        }
    }

    private void recordBytes(int count) {
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
        IOException connectionClosed = new IOException("the connection has closed");
        pendingResponses.values().forEach(response -> response.tryEmitError(connectionClosed));
        onClosed.accept(this);
    }

    private void write(Envelope envelope) {
        try {
            byte[] bytes = PeerCodec.encode(envelope);
            meter.sent(envelope.message().kind(), bytes.length + LENGTH_BYTES);
            var unused = channel.writeAndFlush(Unpooled.wrappedBuffer(bytes), channel.voidPromise());
        } catch (IOException e) {
            LOG.error(
                    "cannot encode a message of kind {}, which is dropped",
                    envelope.message().kind(),
                    e);
        }
    }

    private void received(byte[] bytes) {
        Envelope envelope;
        try {
            envelope = PeerCodec.decode(bytes);
        } catch (IOException e) {
            LOG.warn(
                    "malformed message from {} ({}); closing the connection; the first bytes are {}",
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
        if (envelope.response()) {
            Sinks.One<PeerMessage> response = pendingResponses.remove(-envelope.id());
            if (response != null) {
                response.tryEmitValue(envelope.message());
            }
            return;
        }
        envelope.message().senderId().ifPresent(senderId -> peerId = senderId);
        handler.handle(peerId, envelope.message())
                .subscribe(
                        response -> {
                            if (envelope.request()) {
                                write(new Envelope(-envelope.id(), response));
                            }
                        },
                        error -> LOG.warn(
                                "handling a message of kind {} failed; a request gets no response",
                                envelope.message().kind(),
                                error));
    }

    /** Reports received bytes to the transfers in progress, before the frames are complete. */
    private final class ByteCountingHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof ByteBuf bytes) {
                recordBytes(bytes.readableBytes());
            }
            context.fireChannelRead(message);
        }
    }
}
