package org.rattanrudder.wire.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.rattanrudder.core.model.Address;

/** A server that begins to send its answer to the first of two calls a second time, and stops anywhere. */
public final class ExtraBytes implements AutoCloseable {
    /** The status of the answer to the second call. */
    public static final int NEXT_STATUS = 203;

    private static final String FIRST_BODY = "{\"sequence\":1}";
    private static final String NEXT_BODY = "{\"sequence\":22}";

    private final ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final String framing;
    private final Arrival arrival;

    /** What it sends of the second copy. */
    private volatile String beginning = "";

    /** When the beginning arrives: with the answer before it, or once its connection was kept and used again. */
    public enum Arrival {
        WITH_THE_ANSWER,
        BEFORE_THE_NEXT
    }

    /**
     * Starts a server.
     *
     * @param framing whether answers have a length or chunks
     */
    public ExtraBytes(String framing, Arrival arrival) throws IOException {
        this.framing = framing;
        this.arrival = arrival;
        new Thread(this::acceptAll).start();
    }

    /** Returns where it listens. */
    public Address address() {
        return new Address("127.0.0.1", listening.getLocalPort());
    }

    /** Returns how many bytes the answer to the first call has. */
    public int firstLength() {
        return first().length();
    }

    /** Has it send so many bytes of the second copy from now on. */
    public void beginWith(int bytes) {
        beginning = first().substring(0, bytes);
    }

    /** Returns whether an answer is the one to the second call. */
    public static boolean isNext(int status, byte[] body) {
        return status == NEXT_STATUS && new String(body, StandardCharsets.ISO_8859_1).equals(NEXT_BODY);
    }

    private String first() {
        return answer("200 OK", FIRST_BODY);
    }

    private String answer(String status, String body) {
        return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n"
                + (framing.equals("length")
                        ? "Content-Length: " + body.length() + "\r\n\r\n" + body
                        : "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n" + body
                                + "\r\n0\r\n\r\n");
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = listening.accept();
                new Thread(() -> serve(socket)).start();
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    /** Serves one connection; each request's path says whether it is the first of two. */
    private void serve(Socket socket) {
        try (socket) {
            int served = 0;
            while (true) {
                boolean first = head(socket).contains("/first");
                String before = served > 0 && arrival == Arrival.BEFORE_THE_NEXT ? beginning : "";
                String behind = first && arrival == Arrival.WITH_THE_ANSWER ? beginning : "";
                String own = first ? first() : answer(NEXT_STATUS + " Ok", NEXT_BODY);
                socket.getOutputStream().write((before + own + behind).getBytes(StandardCharsets.ISO_8859_1));
                served++;
            }
        } catch (IOException ended) {
            // The client has closed the connection.
        }
    }

    private static String head(Socket socket) throws IOException {
        StringBuilder read = new StringBuilder();
        while (read.indexOf("\r\n\r\n") < 0) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("ended");
            }
            read.append((char) next);
        }
        return read.toString();
    }

    @Override
    public void close() throws IOException {
        listening.close();
    }
}
