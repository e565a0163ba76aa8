package standins2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A request or an answer as it was read from a channel. */
final class Message {
    final String start;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    private Message(String start) {
        this.start = start;
    }

    String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    String text() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    int status() {
        return Integer.parseInt(start.split(" ")[1]);
    }

    /** Reads a whole message; null where the channel ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message != null) {
            message.readBody(in);
        }
        return message;
    }

    /** Reads the body that follows the head. */
    void readBody(InputStream in) throws IOException {
        if ("chunked".equalsIgnoreCase(header("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                byte[] chunk = chunk(in);
                if (chunk == null) {
                    break;
                }
                all.write(chunk);
            }
            body = all.toByteArray();
        } else if (header("content-length") != null) {
            int length = Integer.parseInt(header("content-length").trim());
            body = in.readNBytes(length);
            if (body.length < length) {
                throw new EOFException("cut in the body");
            }
        }
    }

    /** Reads a head only. */
    static Message readHead(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Message message = new Message(start);
        while (true) {
            String line = line(in);
            if (line == null) {
                throw new EOFException("cut in the head");
            }
            if (line.isEmpty()) {
                return message;
            }
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
    }

    /** Reads the next chunk of a chunked body; null for the last one. */
    static byte[] chunk(InputStream in) throws IOException {
        String size = line(in);
        if (size == null) {
            throw new EOFException("cut between chunks");
        }
        int length = Integer.parseInt(size.trim(), 16);
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("cut in a chunk");
        }
        line(in);
        return length == 0 ? null : bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("cut in a line");
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }
}
