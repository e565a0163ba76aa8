package org.rattanrudder.daemon.relay.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BoundedHeadersTest {
    /** Guards against heads and trailers within the limit of bytes whose many lines take a multiple of it. */
    @ParameterizedTest
    @CsvSource({"128, true", "129, false"})
    void moreLinesThanTheLimitAreMalformed(int lines, boolean accepted) {
        String fields = "a:\r\n".repeat(lines);

        assertThat(isAccepted("HTTP/1.1 204 No Content\r\n" + fields + "\r\n")).isEqualTo(accepted);
        assertThat(isAccepted("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + fields + "\r\n"))
                .isEqualTo(accepted);
    }

    private static boolean isAccepted(String response) {
        EmbeddedChannel channel = new EmbeddedChannel(new HttpResponseDecoder(BoundedHeaders.decoderConfiguration()));
        channel.writeInbound(Unpooled.copiedBuffer(response, StandardCharsets.ISO_8859_1));
        return channel.inboundMessages().stream()
                .allMatch(object -> ((HttpObject) object).decoderResult().isSuccess());
    }
}
