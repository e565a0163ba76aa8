package standins2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server that answers one request at a time on a channel, as its script says. */
final class Server implements AutoCloseable {
    interface Script {
        void answer(Message request, Channel channel) throws Exception;
    }

    /** What a server does before it has read the body of a request. */
    interface EarlyScript {
        /** Returns whether the request is done with, and its channel ends. */
        boolean answer(Message head, Channel channel) throws Exception;
    }

    private final ServerSocket listening;
    private final Set<Channel> channels = ConcurrentHashMap.newKeySet();

    Server(Script script) throws IOException {
        this((head, channel) -> false, script);
    }

    Server(EarlyScript early, Script script) throws IOException {
        listening = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        Background.run(() -> {
            while (true) {
                Socket socket = listening.accept();
                Background.run(() -> serve(new Channel(socket), early, script));
            }
        });
    }

    private void serve(Channel channel, EarlyScript early, Script script) throws Exception {
        channels.add(channel);
        try (channel) {
            while (true) {
                Message request = Message.readHead(channel.in);
                if (request == null || early.answer(request, channel)) {
                    return;
                }
                request.readBody(channel.in);
                script.answer(request, channel);
            }
        } finally {
            channels.remove(channel);
        }
    }

    String address() {
        return "127.0.0.1:" + listening.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        listening.close();
        for (Channel channel : channels) {
            channel.close();
        }
    }
}
