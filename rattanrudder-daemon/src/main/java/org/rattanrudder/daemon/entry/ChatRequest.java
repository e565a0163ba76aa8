package org.rattanrudder.daemon.entry;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.rattanrudder.core.call.PromptShape;

/**
 * What an entry reads of a chat request's body; the body itself passes on as it came.
 *
 * @param model names the service
 * @param stream whether the caller wants events
 * @param texts role, line feed, content and line feed of each message, in order
 */
record ChatRequest(String model, boolean stream, List<String> texts) {
    private static final JsonFactory JSON = new JsonFactory();

    /** Returns the shape of the prompt when cut into pieces of so many tokens. */
    PromptShape shape(int pieceTokens) {
        PromptDigester digester = new PromptDigester(pieceTokens);
        texts.forEach(digester::add);
        return digester.shape();
    }

    /**
     * Reads a body.
     *
     * @throws IOException if it isn't JSON of the form that is needed; the message says what is wrong, without content
     */
    static ChatRequest read(byte[] body) throws IOException {
        String model = "";
        boolean stream = false;
        List<String> texts = new ArrayList<>();
        try (JsonParser parser = JSON.createParser(body)) {
            expect(parser.nextToken() == JsonToken.START_OBJECT, "the body is no JSON object");
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String field = parser.currentName();
                JsonToken value = parser.nextToken();
                if (field.equals("model")) {
                    expect(value == JsonToken.VALUE_STRING, "\"model\" is no text");
                    model = parser.getText();
                } else if (field.equals("stream")) {
                    expect(value.isBoolean() || value == JsonToken.VALUE_NULL, "\"stream\" is neither true nor false");
                    stream = value == JsonToken.VALUE_TRUE;
                } else if (field.equals("messages")) {
                    expect(value == JsonToken.START_ARRAY, "\"messages\" is no list");
                    readMessages(parser, texts);
                } else {
                    parser.skipChildren();
                }
            }
            expect(parser.nextToken() == null, "something follows the JSON object");
        }
        expect(!model.isEmpty(), "\"model\" is missing");
        expect(!texts.isEmpty(), "\"messages\" is missing or empty");
        return new ChatRequest(model, stream, texts);
    }

    private static void readMessages(JsonParser parser, List<String> texts) throws IOException {
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            expect(parser.currentToken() == JsonToken.START_OBJECT, "a message is no object");
            String role = "";
            StringBuilder content = new StringBuilder();
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String field = parser.currentName();
                JsonToken value = parser.nextToken();
                if (field.equals("role")) {
                    expect(value == JsonToken.VALUE_STRING, "a message's \"role\" is no text");
                    role = parser.getText();
                } else if (field.equals("content")) {
                    readContent(parser, value, content);
                } else {
                    parser.skipChildren();
                }
            }
            expect(!role.isEmpty(), "a message has no \"role\"");
            texts.add(role);
            texts.add("\n");
            texts.add(content.toString());
            texts.add("\n");
        }
    }

    /** Content is a text, null, or a list of parts, of which those of text count. */
    private static void readContent(JsonParser parser, JsonToken value, StringBuilder content) throws IOException {
        if (value == JsonToken.VALUE_STRING) {
            content.append(parser.getText());
            return;
        }
        if (value == JsonToken.VALUE_NULL) {
            return;
        }
        expect(value == JsonToken.START_ARRAY, "a message's \"content\" is neither text nor list");
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            expect(parser.currentToken() == JsonToken.START_OBJECT, "a part of \"content\" is no object");
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String field = parser.currentName();
                JsonToken part = parser.nextToken();
                if (field.equals("text") && part == JsonToken.VALUE_STRING) {
                    content.append(parser.getText());
                } else {
                    parser.skipChildren();
                }
            }
        }
    }

    private static void expect(boolean holds, String otherwise) throws MalformedChatException {
        if (!holds) {
            throw new MalformedChatException(otherwise);
        }
    }

    /** The body is JSON, but not a chat request; the message is safe to show. */
    static final class MalformedChatException extends IOException {
        private static final long serialVersionUID = 1L;

        MalformedChatException(String message) {
            super(message);
        }
    }
}
