package standins2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A link to a server that carries so many Mbit a second towards it; ends and resets of either side pass it. */
final class Link implements AutoCloseable {
    private static final int PIECE_BYTES = 1_400;
    private static final double BITS_PER_BYTE = 8;

    private final ServerSocket listening;
    private final String server;
    private final double mbitsPerSecond;

    Link(String server, double mbitsPerSecond) throws IOException {
        this.server = server;
        this.mbitsPerSecond = mbitsPerSecond;
        listening = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        Background.run(() -> {
            while (true) {
                Socket near = listening.accept();
                Background.run(() -> join(near));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listening.getLocalPort();
    }

    private void join(Socket near) throws IOException {
        Socket far = Channel.to(server).socket;
        near.setTcpNoDelay(true);
        Background.run(() -> carry(near, far, true));
        Background.run(() -> carry(far, near, false));
    }

    private void carry(Socket from, Socket to, boolean towardsServer) throws Exception {
        byte[] piece = new byte[PIECE_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            long free = System.nanoTime();
            int count = in.read(piece);
            while (count >= 0) {
                if (towardsServer) {
                    free = Math.max(free, System.nanoTime()) + (long) (count * BITS_PER_BYTE / mbitsPerSecond * 1_000);
                    while (System.nanoTime() < free) {
                        Thread.sleep(0, 100_000);
                    }
                }
                out.write(piece, 0, count);
                count = in.read(piece);
            }
            to.shutdownOutput();
        } catch (IOException reset) {
            reset(from);
            reset(to);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException closed) {
            // It has ended already.
        }
    }

    @Override
    public void close() throws IOException {
        listening.close();
    }
}
