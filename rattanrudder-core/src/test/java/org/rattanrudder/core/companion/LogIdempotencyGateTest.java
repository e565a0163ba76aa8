package org.rattanrudder.core.companion;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.rattanrudder.core.call.Header;
import org.rattanrudder.core.claims.ClaimSettings;
import org.rattanrudder.core.claims.RecordedAnswer;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.log.AppendResult;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.log.LogStream;
import org.rattanrudder.core.model.ErrorKind;

class LogIdempotencyGateTest {
    private final CompanionDriver driver = CompanionDriver.ready();
    private int appendsSeen;
    private long offset;

    /**
     * A caller repeats a call whose answer was lost. The call must run once, and the repeat get the answer of the
     * first.
     */
    @Test
    void keyedCallRunsOnceAfterItsClaimAndRepeatsGetTheSameAnswer() {
        readLog();
        driver.frame(1, keyed(1));
        assertThat(driver.called()).as("before its claim is read back").isEmpty();
        readLog();
        assertThat(driver.called()).containsExactly(CompanionDriver.id(1));

        driver.frame(1, keyed(2));
        assertThat(failure(2)).isEqualTo(ErrorKind.KEY_IN_PROGRESS);
        driver.answer(1, "{\"id\"", ":1}");
        driver.end(1);
        driver.frame(1, keyed(3));
        readLog();
        driver.frame(1, keyed(4));

        assertThat(driver.called()).hasSize(1);
        for (long sequence : new long[] {3, 4}) {
            assertThat(body(sequence)).isEqualTo("{\"id\":1}");
            assertThat(heads(sequence).get(0).headers())
                    .contains(new Header(RecordedAnswer.SOURCE_HEADER, RecordedAnswer.COMPLETE));
        }
    }

    /**
     * While the log is down, a call is refused as "not run" within the claim timeout. It must not run when the log is
     * back.
     */
    @Test
    void callRefusedWhileTheLogIsDownDoesNotRunLater() {
        readLog();
        driver.frame(1, keyed(1));
        driver.handle(new CompanionEvent.AppendSettled(LogStream.CLAIMS, 2, new AppendResult.Unknown()));
        driver.advance(1_100, 1);
        assertThat(driver.sent(1, Frame.NotRun.class))
                .extracting(frame -> frame.refusal().kind())
                .containsExactly(ErrorKind.LOG_UNAVAILABLE);
        readLog();
        driver.advance(1_000, 1);
        readLog();
        assertThat(driver.called()).isEmpty();

        driver.frame(1, keyed(2));
        readLog();
        assertThat(driver.called()).containsExactly(CompanionDriver.id(2));
    }

    /** Guards against a second run: the claim is read back after a suspension in which the key may have expired. */
    @Test
    void aClaimThatIsReadBackAfterItsMachineMayHaveBeenSuspendedRunsNothing() {
        readLog();
        driver.frame(1, keyed(1));
        driver.suspendOrJump(ClaimSettings.DEFAULT.claimTimeoutMicros() / 1_000);
        readLog();
        assertThat(driver.called()).isEmpty();
        assertThat(driver.sent(1, Frame.NotRun.class)).hasSize(1);
    }

    @Test
    void callThatWasUnsentOrCancelledReleasesItsKey() {
        readLog();
        driver.frame(1, keyed(1));
        driver.frame(1, new Frame.Cancel(CompanionDriver.id(1)));
        driver.frame(1, keyed(2));
        readLog();
        driver.handle(new CompanionEvent.TargetFailed(CompanionDriver.id(2), true, "refused"));
        driver.frame(1, keyed(3));
        driver.advance(100, 1);
        readLog();

        assertThat(driver.called()).containsExactly(CompanionDriver.id(2), CompanionDriver.id(3));
    }

    @Test
    void brokenCallIsUnknownForItsRepeatsToo() {
        readLog();
        driver.frame(1, keyed(1));
        readLog();
        driver.handle(new CompanionEvent.TargetFailed(CompanionDriver.id(1), false, "reset"));
        driver.frame(1, keyed(2));
        driver.advance(100, 1);
        readLog();
        driver.frame(1, keyed(3));

        assertThat(failure(2)).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
        assertThat(failure(3)).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
    }

    /** If the companion exited before an answer that was sent is recorded, repeats of the call would get "unknown". */
    @ParameterizedTest
    @EnumSource(LogBehavior.class)
    void drainEndsOnceAnswersAreLoggedOrTheTimeoutHasPassed(LogBehavior log) {
        readLog();
        driver.frame(1, keyed(1));
        readLog();
        driver.answer(1, "done");
        driver.end(1);
        driver.handle(new CompanionEvent.DrainRequested());
        driver.advance(100, 1);
        assertThat(driver.effectsOf(CompanionEffect.Drained.class)).isEmpty();
        if (log == LogBehavior.ANSWERS) {
            readLog();
        } else {
            driver.advance(LogIdempotencyGate.DRAIN_TIMEOUT_MICROS / 1_000, 1);
        }
        assertThat(driver.effectsOf(CompanionEffect.Drained.class)).hasSize(1);
    }

    private enum LogBehavior {
        ANSWERS,
        UNRESPONSIVE
    }

    private static Frame.Dispatch keyed(long sequence) {
        Frame.Dispatch plain = CompanionDriver.append(sequence);
        return new Frame.Dispatch(
                plain.attempt(),
                plain.companionIncarnation(),
                plain.target(),
                plain.service(),
                plain.customer(),
                plain.requestClass(),
                plain.priority(),
                plain.deadlineMicros(),
                plain.weightVersion(),
                Optional.of("shift-7-entry-12"),
                false,
                CompanionDriver.append(1).call(),
                plain.prompt());
    }

    /** Lets all appends succeed, and reads the log until it has no new records. */
    private void readLog() {
        do {
            List<LogRecord> records = new ArrayList<>();
            List<CompanionEffect.Append> appends = driver.effectsOf(CompanionEffect.Append.class).stream()
                    .filter(append -> append.stream() == LogStream.CLAIMS)
                    .toList();
            for (CompanionEffect.Append append : appends.subList(appendsSeen, appends.size())) {
                records.add(new LogRecord(++offset, append.batch()));
            }
            appendsSeen = appends.size();
            driver.handle(new CompanionEvent.LogRead(LogStream.CLAIMS, records, true));
            driver.advance(50, 1);
        } while (appendsSeen
                < driver.effectsOf(CompanionEffect.Append.class).stream()
                        .filter(append -> append.stream() == LogStream.CLAIMS)
                        .count());
    }

    private ErrorKind failure(long sequence) {
        return driver.sent(1, Frame.AnswerFailed.class).stream()
                .filter(frame -> frame.attempt().equals(CompanionDriver.id(sequence)))
                .findFirst()
                .orElseThrow()
                .refusal()
                .kind();
    }

    private List<Frame.AnswerHead> heads(long sequence) {
        return driver.sent(1, Frame.AnswerHead.class).stream()
                .filter(frame -> frame.attempt().equals(CompanionDriver.id(sequence)))
                .toList();
    }

    private String body(long sequence) {
        StringBuilder text = new StringBuilder();
        driver.sent(1, Frame.AnswerChunk.class).stream()
                .filter(frame -> frame.attempt().equals(CompanionDriver.id(sequence)))
                .forEach(frame -> text.append(new String(frame.bytes())));
        return text.toString();
    }
}
