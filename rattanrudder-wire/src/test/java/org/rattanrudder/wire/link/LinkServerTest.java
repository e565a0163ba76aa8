package org.rattanrudder.wire.link;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.InstanceName;
import org.rattanrudder.wire.frame.FrameCodec;

class LinkServerTest {
    private static final int SECONDS = 10;
    private static final Frame.Hello HELLO = new Frame.Hello(new InstanceName("a"), 7, "domain", "1");
    private static final LinkSettings SMALL = new LinkSettings(4_096, 65_536, 1_000, 200);

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, SECONDS, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private LinkServer serve(Heard heard) throws IOException {
        return new LinkServer(group, new InetSocketAddress("127.0.0.1", 0), HELLO, SMALL, new LinkTraffic(), heard);
    }

    private static Address addressOf(LinkServer server) {
        return new Address("127.0.0.1", server.port());
    }

    @Test
    void framesArriveInOrderBothWays() throws Exception {
        Heard server = new Heard();
        Heard client = new Heard();
        LinkServer listening = serve(server);
        Link toServer = new LinkClient(group, HELLO, SMALL, new LinkTraffic(), client).open(addressOf(listening));
        assertThat(client.next()).isEqualTo("opened a");
        assertThat(server.next()).isEqualTo("opened a");

        for (int sequence = 1; sequence <= 100; sequence++) {
            toServer.send(new Frame.Cancel(new AttemptId(1, sequence, 1)));
            server.link.send(new Frame.Accepted(new AttemptId(1, sequence, 1)));
        }

        for (int sequence = 1; sequence <= 100; sequence++) {
            assertThat(server.next()).isEqualTo("Cancel " + sequence);
            assertThat(client.next()).isEqualTo("Accepted " + sequence);
        }
        toServer.close();
        assertThat(server.next()).isEqualTo("closed: the peer closed the connection");
        assertThat(client.events).isEmpty();
    }

    @Test
    void linkThatCannotBeOpenedIsClosed() throws Exception {
        Heard client = new Heard();
        LinkServer listening = serve(new Heard());
        Address address = addressOf(listening);
        listening.close();

        new LinkClient(group, HELLO, SMALL, new LinkTraffic(), client).open(address);

        assertThat(client.next()).startsWith("closed: can't connect");
    }

    static Stream<Arguments> brokenStreams() {
        byte[] hello = FrameCodec.encode(HELLO);
        byte[] leaving = FrameCodec.encode(new Frame.Leaving());
        return Stream.of(
                Arguments.of("silence", new byte[0], "closed: no hello in 200 ms"),
                Arguments.of("a frame before the hello", framed(leaving), "closed: a frame came before the hello"),
                Arguments.of(
                        "garbage", framed(new byte[] {-1, -1, -1}), "closed: malformed frame: not a frame message"),
                Arguments.of("a huge length", new byte[] {127, 0, 0, 0, 1}, "closed: TooLongFrameException"),
                Arguments.of("half a hello", halfOf(framed(hello)), "closed: no hello in 200 ms"));
    }

    /**
     * A companion is held up or dies from what a stranger, a port scan or a broken peer sends.
     * Cause: a length taken on trust, a frame taken before the hello, or a connection kept though nothing comes.
     */
    @ParameterizedTest(name = "{0}")
    @MethodSource("brokenStreams")
    void brokenStreamIsClosedWithAReason(String name, byte[] sent, String closed) throws Exception {
        Heard server = new Heard();
        LinkServer listening = serve(server);
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), listening.port())) {
            new DataOutputStream(socket.getOutputStream()).write(sent);

            assertThat(server.next()).startsWith(closed);
        }
    }

    /**
     * The process runs out of memory while one entry hangs.
     * The entry says hello and then reads nothing; the companion goes on sending.
     * Cause: frames that the socket doesn't take pile up without bound.
     */
    @Test
    void peerThatDoesNotReadIsClosed() throws Exception {
        Heard server = new Heard();
        LinkServer listening = serve(server);
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), listening.port())) {
            socket.getOutputStream().write(framed(FrameCodec.encode(HELLO)));
            assertThat(server.next()).isEqualTo("opened a");
            Frame chunk = new Frame.AnswerChunk(new AttemptId(1, 1, 1), 0, new byte[4_000]);

            for (int sent = 0; sent < 100_000 && server.events.isEmpty(); sent++) {
                server.link.send(chunk);
            }

            assertThat(server.next()).startsWith("closed: the peer doesn't read");
        }
    }

    private static byte[] framed(byte[] frame) {
        return java.nio.ByteBuffer.allocate(Integer.BYTES + frame.length)
                .putInt(frame.length)
                .put(frame)
                .array();
    }

    private static byte[] halfOf(byte[] bytes) {
        return java.util.Arrays.copyOf(bytes, bytes.length / 2);
    }

    /** Writes down what a listener hears. */
    private static final class Heard implements LinkListener {
        private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
        private volatile Link link;

        String next() throws InterruptedException {
            return events.poll(SECONDS, TimeUnit.SECONDS);
        }

        @Override
        public void opened(Link opened, Frame.Hello hello) {
            link = opened;
            events.add("opened " + hello.instance());
        }

        @Override
        public void arrived(Link from, Frame frame) {
            long sequence = ((Frame.AttemptFrame) frame).attempt().sequence();
            events.add(frame.getClass().getSimpleName() + " " + sequence);
        }

        @Override
        public void closed(Link gone, String reason) {
            events.add("closed: " + reason);
        }
    }
}
