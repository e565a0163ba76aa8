package standins2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One TCP channel. */
final class Channel implements AutoCloseable {
    final Socket socket;
    final InputStream in;
    private final OutputStream out;

    Channel(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    /** Opens one. */
    static Channel to(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket socket = new Socket();
        socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                1000);
        return new Channel(socket);
    }

    /** Writes text with the line ends of the wire. */
    synchronized void write(String text) throws IOException {
        out.write(text.replace("\n", "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Writes a chunk of a chunked body; an empty text ends it. */
    synchronized void chunk(String text) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Resets it. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
