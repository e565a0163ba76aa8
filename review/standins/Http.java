package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** A small HTTP/1.1 server and the parsing of messages; connections are kept open until the other side closes them. */
final class Http {
    private Http() {}

    /** A message: its first line, its headers by lower-case name, and its body. */
    record Message(String start, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(), "");
        }

        String method() {
            return start.split(" ")[0];
        }

        /** Returns the target of a request. */
        String target() {
            return start.split(" ")[1];
        }

        /** Returns a parameter of the query; empty if it is missing. */
        String query(String name) {
            String target = target();
            int mark = target.indexOf('?');
            if (mark < 0) {
                return "";
            }
            for (String each : target.substring(mark + 1).split("&")) {
                if (each.startsWith(name + "=")) {
                    return each.substring(name.length() + 1);
                }
            }
            return "";
        }

        String path() {
            String target = target();
            int mark = target.indexOf('?');
            return mark < 0 ? target : target.substring(0, mark);
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Handles one request and writes its response. */
    interface Handler {
        void handle(Message request, OutputStream out) throws IOException, InterruptedException;
    }

    /** Reads a message; throws an EOFException if the connection ends within it, returns null if before it. */
    static Message read(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); line == null || !line.isEmpty(); line = line(in)) {
            if (line == null) {
                throw new EOFException("ended within the head");
            }
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
        return new Message(start, headers, body(in, headers));
    }

    private static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
        if ("chunked".equals(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = chunk(in); size > 0; size = chunk(in)) {
                body.writeBytes(exactly(in, size));
                line(in);
            }
            line(in);
            return body.toByteArray();
        }
        return exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
    }

    private static int chunk(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            throw new EOFException("ended within the body");
        }
        return Integer.parseInt(line.trim(), 16);
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("ended within the body");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int each = in.read(); each != '\n'; each = in.read()) {
            if (each < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("ended within a line");
            }
            if (each != '\r') {
                line.write(each);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Writes a whole response. */
    static void answer(OutputStream out, int status, String headers, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " -\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
        all.writeBytes(body);
        out.write(all.toByteArray());
        out.flush();
    }

    static void json(OutputStream out, int status, String body) throws IOException {
        answer(out, status, "Content-Type: application/json\r\n", body.getBytes(StandardCharsets.UTF_8));
    }

    /** Listens on a free port of the loopback address and serves each connection on a thread of its own. */
    static final class Server implements AutoCloseable {
        private final ServerSocket socket;
        private final Handler handler;

        Server(Handler handler) throws IOException {
            this.handler = handler;
            socket = new ServerSocket();
            socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1024);
            start(this::accept);
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        private void accept() {
            while (!socket.isClosed()) {
                try {
                    Socket opened = socket.accept();
                    opened.setTcpNoDelay(true);
                    start(() -> serve(opened));
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void serve(Socket opened) {
            try (opened) {
                InputStream in = new java.io.BufferedInputStream(opened.getInputStream(), 65_536);
                for (Message each = read(in); each != null; each = read(in)) {
                    handler.handle(each, opened.getOutputStream());
                }
            } catch (IOException | InterruptedException ended) {
                // The other side has ended the connection.
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }
}
