package org.rattanrudder.document;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Texts in place of documents and settings that another writer may leave. */
class OddTextsTest {
    /** The stack of the processes' threads, as their start script sets it. */
    private static final long STACK_BYTES = 256 * 1_024;

    private static final long MAX_SECONDS = 5;

    static List<String> texts() {
        String deep = "[".repeat(100_000) + "]".repeat(100_000);
        String nested = "[".repeat(900) + "]".repeat(900);
        String objects = "{\"a\":".repeat(450) + "1" + "}".repeat(450);
        return List.of(
                "{\"targets\":" + deep + "}",
                "{\"targets\":" + nested + "}",
                objects,
                "{\"limits\":{\"bodyBytes\":1e99999999999}}",
                "{\"limits\":{\"bodyBytes\":1e999999999}}",
                "{\"limits\":{\"bodyBytes\":-1e999999999}}",
                "{\"limits\":{\"bodyBytes\":1e-999999999}}",
                "{\"limits\":{\"bodyBytes\":0e999999999}}",
                "{\"limits\":{\"bodyBytes\":" + "9".repeat(100_000) + "}}",
                "{\"limits\":{\"bodyBytes\":" + "9".repeat(999) + "}}",
                "{\"" + "k".repeat(49_000) + "\":1}",
                "{\"" + "k".repeat(1_000_000) + "\":1}",
                "{\"kind\":\"" + "k".repeat(1_000_000) + "\"}",
                "{\"service\":\"\u0000\"}",
                "{\"service\":\"\\ud800\"}",
                "\u0000",
                "");
    }

    /** Guards against a process whose only thread fails, or stands still, by one text that it reads. */
    @ParameterizedTest
    @MethodSource("texts")
    @Timeout(MAX_SECONDS)
    void anOddTextIsRejectedWhoeverReadsIt(String text) throws InterruptedException {
        assertThat(read(() -> new ServiceDocumentParser().parse(text))).isInstanceOf(ParseResult.Rejected.class);
        assertThat(read(() -> new ProcessSettingsParser().parse(text))).isInstanceOf(ParseResult.Rejected.class);
    }

    private static Object read(Supplier<Object> reader) throws InterruptedException {
        AtomicReference<Object> result = new AtomicReference<>();
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        result.set(reader.get());
                    } catch (RuntimeException | StackOverflowError failed) {
                        result.set(failed);
                    }
                },
                "reader",
                STACK_BYTES);
        thread.start();
        thread.join();
        return result.get();
    }
}
