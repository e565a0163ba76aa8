package org.rattanrudder.daemon.relay.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;
import org.rattanrudder.wire.http.StatusLines;

/**
 * Decodes responses, and rejects a head that may consist of parts of two responses.
 *
 * <p>A faulty server may begin another response behind a whole one and stop anywhere, also within a line. The next
 * response on the connection then continues that line, and a lenient parser joins the two: the status of one with the
 * headers and the body of the other.
 */
public final class StrictResponseDecoder extends HttpResponseDecoder {
    /** Headers that frame a body; two of them, or two that differ in kind, leave open where it ends. */
    private static final Set<String> FRAMING_HEADERS = Set.of(
            HttpHeaderNames.CONTENT_LENGTH.toString(),
            HttpHeaderNames.TRANSFER_ENCODING.toString(),
            HttpHeaderNames.CONTENT_ENCODING.toString(),
            HttpHeaderNames.CONTENT_TYPE.toString());

    private static final Pattern STATUS_CODE = Pattern.compile("[1-9]\\d\\d");

    private final Set<String> singleHeaders;
    private final BooleanSupplier ofHeadRequest;
    private boolean withinMessage;

    /** Creates a decoder of responses to requests other than HEAD. */
    StrictResponseDecoder() {
        this(Set.of(), () -> false);
    }

    /**
     * Creates a decoder.
     *
     * @param singleHeaders names of headers of which a response has one at most, beside those that frame its body
     * @param ofHeadRequest returns whether the next response is to a HEAD request: it has no body whatever its headers
     *     say
     */
    public StrictResponseDecoder(Set<String> singleHeaders, BooleanSupplier ofHeadRequest) {
        super(BoundedHeaders.decoderConfiguration());
        Set<String> all = new HashSet<>(FRAMING_HEADERS);
        all.addAll(singleHeaders);
        this.singleHeaders = Set.copyOf(all);
        this.ofHeadRequest = ofHeadRequest;
    }

    /** Returns whether a part of a message has arrived and its end hasn't. */
    public boolean isWithinMessage() {
        return withinMessage || actualReadableBytes() > 0;
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        withinMessage = true;
        if (!StatusLines.isVersion(initialLine[0])
                || !STATUS_CODE.matcher(initialLine[1]).matches()
                || StatusLines.isWithin(initialLine[2])) {
            throw new IllegalArgumentException("malformed status line");
        }
        return super.createMessage(initialLine);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        int before = out.size();
        super.decode(context, buffer, out);
        for (Object decoded : out.subList(before, out.size())) {
            withinMessage = !(decoded instanceof LastHttpContent);
            if (decoded instanceof HttpResponse head && mayBeOfTwo(head.headers())) {
                head.setDecoderResult(
                        DecoderResult.failure(new IllegalArgumentException("a head that two responses may have made")));
            }
        }
    }

    private boolean mayBeOfTwo(HttpHeaders headers) {
        return headers.contains(HttpHeaderNames.CONTENT_LENGTH) && headers.contains(HttpHeaderNames.TRANSFER_ENCODING)
                || singleHeaders.stream().anyMatch(name -> headers.getAll(name).size() > 1);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        // Both are kept, so that the head is rejected.
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        boolean ofHead = ofHeadRequest.getAsBoolean()
                && message instanceof HttpResponse response
                && response.status().code() >= HttpResponseStatus.OK.code();
        return ofHead || super.isContentAlwaysEmpty(message);
    }
}
