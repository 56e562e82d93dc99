package org.radishpass.routing.framing;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;

/**
 * Decodes responses and rejects bytes that are no part of one legal response, before they are decoded: a response that
 * breaks off in its head is not completed by the next one. It reports a {@link MalformedResponseException} and then
 * decodes nothing more.
 *
 * <p>Between two requests it decodes nothing and keeps the bytes it was given.
 *
 * @since 0.16.0
 */
public final class StrictResponseDecoder extends HttpResponseDecoder {
    private enum Part {
        HEAD,
        CHUNKED_BODY,
        BODY
    }

    private final ResponseHeadChecker head = new ResponseHeadChecker();
    private final ChunkedBodyChecker chunks = new ChunkedBodyChecker();
    private HttpMethod method = HttpMethod.GET;
    private Part part = Part.HEAD;
    private int checkedAhead;
    private boolean paused;
    private boolean failed;

    /**
     * Creates a decoder that decodes until it is paused.
     *
     * @param limits the maximum sizes
     */
    public StrictResponseDecoder(HttpDecoderConfig limits) {
        super(limits.clone().setValidateHeaders(false));
    }

    /**
     * Decodes the responses to a request from now on.
     *
     * @param requestMethod the method of the request, which decides whether its response has a body
     */
    public void requestMethod(HttpMethod requestMethod) {
        method = requestMethod;
        paused = false;
    }

    /** Decodes nothing more until the next request, because the response to the last one has ended. */
    public void pause() {
        paused = true;
    }

    /** Returns how many bytes were received and not yet decoded. */
    public int undecodedBytes() {
        return failed ? 0 : actualReadableBytes();
    }

    /** Returns the bytes that were received and not yet decoded, for reading only. */
    public ByteBuf undecoded() {
        return internalBuffer();
    }

    /** Tells whether no part of a message was read since the last one ended. */
    public boolean betweenMessages() {
        return part == Part.HEAD && !head.begun();
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        if (failed) {
            buffer.skipBytes(buffer.readableBytes());
            return;
        }
        if (paused) {
            return;
        }
        try {
            checkAhead(buffer);
            int first = out.size();
            int readable = buffer.readableBytes();
            super.decode(ctx, buffer, out);
            if (part != Part.BODY) {
                checkedAhead -= readable - buffer.readableBytes();
            }
            emitted(out, first);
        } catch (MalformedResponseException malformed) {
            failed = true;
            buffer.skipBytes(buffer.readableBytes());
            throw malformed;
        }
    }

    @Override
    protected void decodeLast(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        if (failed || paused) {
            return;
        }
        super.decodeLast(ctx, buffer, out);
        if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
            nextMessage();
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        boolean informational = ((HttpResponse) message).status().codeClass() == HttpStatusClass.INFORMATIONAL;
        return informational || method.equals(HttpMethod.HEAD) || super.isContentAlwaysEmpty(message);
    }

    /** No request asks for another protocol; what follows such a response is a response as well. */
    @Override
    protected boolean isSwitchingToNonHttp1Protocol(HttpResponse response) {
        return false;
    }

    private void checkAhead(ByteBuf buffer) {
        int from = buffer.readerIndex() + checkedAhead;
        int to = buffer.writerIndex();
        int checked =
                switch (part) {
                    case HEAD -> head.check(buffer, from, to);
                    case CHUNKED_BODY -> chunks.check(buffer, from, to);
                    case BODY -> from;
                };
        checkedAhead += checked - from;
    }

    private void emitted(List<Object> out, int first) {
        for (int index = first; index < out.size(); index++) {
            Object message = out.get(index);
            if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
                failed = true;
                return;
            }
            if (message instanceof HttpResponse) {
                requireAgreement(head.ended(), out, first);
                part = head.chunked() ? Part.CHUNKED_BODY : Part.BODY;
                chunks.reset();
            } else if (message instanceof LastHttpContent) {
                boolean chunksOpen = part == Part.CHUNKED_BODY && index == first && !chunks.ended();
                requireAgreement(!chunksOpen, out, first);
                nextMessage();
            }
        }
    }

    private void nextMessage() {
        part = Part.HEAD;
        head.reset();
    }

    /** Fails when the check, which knows the end of this part, and the decoder read on from different bytes. */
    private void requireAgreement(boolean ended, List<Object> out, int first) {
        if (!ended || checkedAhead != 0) {
            while (out.size() > first) {
                ReferenceCountUtil.release(out.remove(out.size() - 1));
            }
            throw new MalformedResponseException(HeadDefect.AMBIGUOUS_END);
        }
    }
}
