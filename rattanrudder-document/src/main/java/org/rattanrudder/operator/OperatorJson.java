package org.rattanrudder.operator;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import java.io.IOException;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import org.rattanrudder.core.burn.LatencyHistogram;
import org.rattanrudder.core.entry.OperatorReply;
import org.rattanrudder.core.model.CustomerName;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.core.model.ServiceName;
import org.rattanrudder.core.model.TargetName;

/**
 * Writes and reads the operators' JSON: the records of the core with keys in snake case, names as texts.
 *
 * <pre>{@code
 * String body = OperatorJson.write(new OperatorReply.Published(service, 17));
 * OperatorReply.Published published = OperatorJson.read(body, OperatorReply.Published.class);
 * }</pre>
 */
public final class OperatorJson {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            // A reader of an older release must bear what a newer entry adds.
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .addModule(names())
            .build();

    private OperatorJson() {}

    /** Returns any reply, request or snapshot as JSON; a refusal becomes the error body that callers get too. */
    public static String write(Object value) {
        Object written = value instanceof OperatorReply.Refused refused ? errorBody(refused.refusal()) : value;
        try {
            return MAPPER.writeValueAsString(written);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException("a record that can't be written as JSON", impossible);
        }
    }

    /**
     * Reads a reply, request or snapshot.
     *
     * @throws IOException if the text isn't JSON of that shape
     */
    public static <T> T read(String text, Class<T> type) throws IOException {
        T value = MAPPER.readValue(text, type);
        if (value == null) {
            throw new IOException("expected " + type.getSimpleName() + ", not null");
        }
        return value;
    }

    /**
     * Reads an error body.
     *
     * @throws IOException if the text is none
     */
    public static Refusal readError(String text) throws IOException {
        ErrorDetail error = read(text, ErrorBody.class).error();
        if (error == null || error.kind() == null) {
            throw new IOException("the answer isn't an error of an entry");
        }
        try {
            ErrorKind kind = ErrorKind.valueOf(error.kind().toUpperCase(Locale.ROOT));
            return new Refusal(kind, error.retryAfterMillis(), error.message());
        } catch (IllegalArgumentException unknownKind) {
            throw new IOException("unknown error kind " + error.kind() + ": " + error.message(), unknownKind);
        }
    }

    private static ErrorBody errorBody(Refusal refusal) {
        ErrorKind kind = refusal.kind();
        return new ErrorBody(new ErrorDetail(
                kind.wireName(), kind.runState().wireName(), refusal.detail(), refusal.retryAfterMillis()));
    }

    private static SimpleModule names() {
        SimpleModule module = new SimpleModule();
        addName(module, ServiceName.class, ServiceName::new);
        addName(module, TargetName.class, TargetName::new);
        addName(module, CustomerName.class, CustomerName::new);
        module.addSerializer(LatencyHistogram.class, new HistogramSerializer());
        module.addDeserializer(LatencyHistogram.class, new HistogramDeserializer());
        return module;
    }

    private static <T> void addName(SimpleModule module, Class<T> type, Function<String, T> constructor) {
        module.addSerializer(type, new ToStringSerializer(type));
        module.addDeserializer(type, new NameDeserializer<>(type, constructor));
    }

    /** The body of every error. */
    private record ErrorBody(ErrorDetail error) {}

    /** The members of an error. */
    private record ErrorDetail(String kind, String runState, String message, long retryAfterMillis) {}

    /** Reads a name from a text. */
    private static final class NameDeserializer<T> extends StdDeserializer<T> {
        private final transient Function<String, T> constructor;

        NameDeserializer(Class<T> type, Function<String, T> constructor) {
            super(type);
            this.constructor = constructor;
        }

        @Override
        public T deserialize(JsonParser parser, DeserializationContext context) throws IOException {
            String text = parser.getValueAsString();
            try {
                return constructor.apply(text == null ? "" : text);
            } catch (IllegalArgumentException noName) {
                throw context.weirdStringException(text, handledType(), noName.getMessage());
            }
        }
    }

    /** Writes a histogram as an object from bucket number to count. */
    private static final class HistogramSerializer extends StdSerializer<LatencyHistogram> {
        HistogramSerializer() {
            super(LatencyHistogram.class);
        }

        @Override
        public void serialize(LatencyHistogram value, JsonGenerator generator, SerializerProvider provider)
                throws IOException {
            generator.writePOJO(value.counts());
        }
    }

    /** Reads what {@link HistogramSerializer} wrote. */
    private static final class HistogramDeserializer extends StdDeserializer<LatencyHistogram> {
        HistogramDeserializer() {
            super(LatencyHistogram.class);
        }

        @Override
        public LatencyHistogram deserialize(JsonParser parser, DeserializationContext context) throws IOException {
            SortedMap<Integer, Long> counts = new TreeMap<>();
            Map<?, ?> read = context.readValue(parser, Map.class);
            read.forEach(
                    (bucket, count) -> counts.put(Integer.valueOf(bucket.toString()), Long.valueOf(count.toString())));
            return new LatencyHistogram(counts);
        }
    }
}
