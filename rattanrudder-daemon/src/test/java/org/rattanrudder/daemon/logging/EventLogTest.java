package org.rattanrudder.daemon.logging;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EventLogTest {
    private static final String NAME = "org.rattanrudder.EventLogTest";

    private final Logger logger = Logger.getLogger(NAME);
    private final RecordingHandler lines = new RecordingHandler();
    private final AtomicLong nowMicros = new AtomicLong(5_000_000);
    private final EventLog log = new EventLog(org.jboss.logging.Logger.getLogger(NAME), nowMicros::get);

    @BeforeEach
    void addHandler() {
        logger.addHandler(lines);
        logger.setUseParentHandlers(false);
    }

    @AfterEach
    void removeHandler() {
        logger.removeHandler(lines);
    }

    @Test
    void eventIsLoggedAsOneLineOfKeyValuePairs() {
        log.info("request_ended", "request", "1f-12", "detail", "two words");

        assertThat(lines.texts)
                .singleElement()
                .asString()
                .matches("time=\\S+ level=INFO logger=EventLogTest "
                        + "event=request_ended request=1f-12 detail=\"two words\"\n");
    }

    /**
     * A caller that puts a line end and key=value pairs into a logged value must not be able to forge the log line of
     * an event that never happened.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {"plain|plain", "a=b|\"a=b\"", "quote\"d|\"quote\\\"d\"", "''|\"\""})
    void valueCannotForgeALogLine(String value, String written) {
        assertThat(LogFields.quote(value)).isEqualTo(written);
        assertThat(LogFields.quote(value + "\nevent=forged")).doesNotContain("\n");
    }

    /**
     * A flood of events, such as a thousand refusals a second, must not fill the log's disk or use up the process's CPU
     * time for logging.
     */
    @Test
    void floodIsRateLimitedAndDroppedLinesAreCounted() {
        for (int index = 0; index < EventLog.LINES_PER_SECOND + 30; index++) {
            log.info("request_refused");
        }
        log.info("another_event");
        assertThat(lines.texts).hasSize(EventLog.LINES_PER_SECOND + 1);

        nowMicros.addAndGet(1_000_000);
        log.info("request_refused");

        assertThat(lines.texts).hasSize(EventLog.LINES_PER_SECOND + 3);
        assertThat(lines.texts.get(EventLog.LINES_PER_SECOND + 1))
                .contains("event=lines_dropped dropped_event=request_refused count=30");
    }

    private static final class RecordingHandler extends Handler {
        private final List<String> texts = new ArrayList<>();
        private final KeyValueFormatter formatter = new KeyValueFormatter();

        @Override
        public void publish(LogRecord line) {
            texts.add(formatter.format(line));
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }
}
