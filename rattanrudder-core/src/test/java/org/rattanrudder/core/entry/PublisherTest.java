package org.rattanrudder.core.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.log.AppendResult;
import org.rattanrudder.core.log.LogBatch;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.log.LogStream;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.ServiceName;

class PublisherTest {
    private static final ServiceName PALIVO = new ServiceName("palivo-llm");
    private static final long SECOND = 1_000_000;

    private final EntryDriver entry = new EntryDriver();
    private final String text = entry.documents.textOf(TestDocuments.prompts(TestDocuments.target(1)));
    private final String other = entry.documents.textOf(TestDocuments.prompts(TestDocuments.target(2)));
    private long end;

    @BeforeEach
    void followTheLog() {
        read(List.of());
    }

    @Test
    void anAcceptedEditIsAnsweredWithItsRevision() {
        publish(1, 0, text);
        read(List.of(record(appended().get(0))));
        assertThat(replies()).containsExactly(new OperatorReply.Published(PALIVO, 1));
    }

    @Test
    void theSecondOfTwoEditsOfARevisionIsAConflict() {
        // Two operators both believe that their document is in force: they edited revision 1 at different entries, and
        // the log has the other operator's edit first.
        read(List.of(record(new LogBatch(5, 1, List.of(new LogEntry.DocumentEdit(PALIVO, 0, text))))));
        publish(1, 1, other);
        LogRecord theirs = record(new LogBatch(5, 2, List.of(new LogEntry.DocumentEdit(PALIVO, 1, text))));
        read(List.of(theirs, record(appended().get(0))));
        assertThat(replies()).singleElement().satisfies(reply -> {
            assertThat(kind(reply)).isEqualTo(ErrorKind.REVISION_CONFLICT);
            assertThat(((OperatorReply.Refused) reply).refusal().detail()).contains("revision 2 ");
        });
    }

    @ParameterizedTest(name = "the append took effect: {0}")
    @ValueSource(booleans = {true, false})
    void aLostAnswerIsResolvedByReadingBack(boolean tookEffect) {
        // An edit that was reported as failed is in force, or it is applied twice: the answer to the append was lost.
        // The outcome must be read from the log, and a retry must append the same batch.
        publish(1, 0, text);
        LogBatch batch = appended().get(0);
        entry.handle(
                new EntryEvent.AppendSettled(LogStream.CONFIGURATION, batch.sequence(), new AppendResult.Unknown()));
        assertThat(replies()).isEmpty();
        read(tookEffect ? List.of(record(batch)) : List.of());
        if (!tookEffect) {
            entry.advance(SECOND);
            assertThat(appended()).containsExactly(batch, batch);
            read(List.of(record(batch), record(batch)));
        }
        assertThat(replies()).containsExactly(new OperatorReply.Published(PALIVO, 1));
    }

    @ParameterizedTest(name = "the append was sent: {0}")
    @ValueSource(booleans = {true, false})
    void whenTheLogFailsTheReplyComesAtOnceAndNotRunIsClaimedOnlyIfTrue(boolean sent) {
        // An operator waits for the whole outage, or publishes again because the first edit was reported as not run,
        // and
        // the first edit takes effect an hour later. An edit that was sent may be in the log; one never sent can't be.
        publish(1, 0, text);
        if (!sent) {
            entry.handle(new EntryEvent.AppendSettled(LogStream.CONFIGURATION, 1, new AppendResult.Refused()));
        }
        entry.handle(new EntryEvent.LogReadFailed(LogStream.CONFIGURATION));
        ErrorKind expected = sent ? ErrorKind.OUTCOME_UNKNOWN : ErrorKind.LOG_UNAVAILABLE;
        assertThat(replies()).singleElement().extracting(PublisherTest::kind).isEqualTo(expected);
        if (!sent) {
            read(List.of());
            entry.advance(5 * SECOND);
            assertThat(appended()).as("sent after it was said not to run").hasSize(1);
        }
    }

    @Test
    void anOvertakenEditIsAConflictEvenIfItsAppendIsUnresolved() {
        publish(1, 0, text);
        entry.handle(new EntryEvent.AppendSettled(LogStream.CONFIGURATION, 1, new AppendResult.Unknown()));
        read(List.of(record(new LogBatch(5, 1, List.of(new LogEntry.DocumentEdit(PALIVO, 0, other))))));
        assertThat(replies()).singleElement().extracting(PublisherTest::kind).isEqualTo(ErrorKind.REVISION_CONFLICT);
    }

    @Test
    void anEditOfAnUnreadRevisionIsNotAppended() {
        // An edit that was reported as void takes effect later: it was appended before its base revision, which only
        // another entry had read, and a copy of it was appended after that revision.
        publish(1, 7, text);
        assertThat(replies()).singleElement().extracting(PublisherTest::kind).isEqualTo(ErrorKind.LOG_UNAVAILABLE);
        assertThat(appended()).isEmpty();
    }

    @Test
    void anEntryThatStartsDuringALogOutageUsesACompanionsDocuments() {
        // A restarted entry refuses every request while the log is down, although its companions work. Only documents
        // contain the companions' addresses, so the entry's settings list bootstrap companions.
        EntryDriver started = new EntryDriver();
        started.handle(new EntryEvent.LogReadFailed(LogStream.CONFIGURATION));
        assertThat(started.effectsOf(EntryEffect.OpenLink.class))
                .containsExactly(new EntryEffect.OpenLink(TestDocuments.companion(1)));
        started.openLink(1, 100);
        assertThat(started.frames(Frame.ConfigurationRequest.class)).hasSize(1);
        String known = started.documents.textOf(TestDocuments.prompts(TestDocuments.target(1)));
        LogEntry index = new LogEntry.RevisionIndex(1, List.of(new LogEntry.Revision(PALIVO, 2)));
        for (LogEntry each : List.of(index, new LogEntry.DocumentRefresh(PALIVO, 2, known))) {
            LogRecord told = new LogRecord(2, new LogBatch(0, 0, List.of(each)));
            started.frame(1, new Frame.ConfigurationRecords(List.of(told)));
        }
        assertThat(started.isReady()).isTrue();
        started.heartbeat(1, 100, true);
        started.prompt("shift sheet");
        assertThat(started.dispatches()).hasSize(1);
    }

    @Test
    void duringALogOutageANewerRevisionComesFromACompanion() {
        // An entry that can't read the log, while its companions can, uses an old document for the whole outage.
        read(List.of(record(new LogBatch(5, 1, List.of(new LogEntry.DocumentEdit(PALIVO, 0, text))))));
        entry.openLink(1, 100);
        entry.handle(new EntryEvent.LogReadFailed(LogStream.CONFIGURATION));
        Frame.ServiceRevision newer = new Frame.ServiceRevision(PALIVO, 2);
        entry.frame(1, new Frame.Heartbeat(100, 1, List.of(), List.of(newer), 1));
        assertThat(entry.frames(Frame.ConfigurationRequest.class)).containsExactly(new Frame.ConfigurationRequest(1));
        LogRecord index = record(new LogBatch(
                0, 0, List.of(new LogEntry.RevisionIndex(1, List.of(new LogEntry.Revision(PALIVO, 2))))));
        LogEntry refresh = new LogEntry.DocumentRefresh(PALIVO, 2, other);
        LogRecord texts = new LogRecord(2, new LogBatch(0, 0, List.of(refresh)));
        entry.frame(1, new Frame.ConfigurationRecords(List.of(index)));
        entry.frame(1, new Frame.ConfigurationRecords(List.of(texts)));
        entry.handle(new EntryEvent.OperatorCalled(9, new OperatorCall.Show(PALIVO)));
        assertThat(replies()).containsExactly(new OperatorReply.Shown(PALIVO, 2, other));
    }

    private void publish(long handle, long base, String document) {
        entry.handle(new EntryEvent.OperatorCalled(handle, new OperatorCall.Publish(PALIVO, base, document)));
        entry.advance(50_000);
    }

    private LogRecord record(LogBatch batch) {
        end++;
        return new LogRecord(end, batch);
    }

    private void read(List<LogRecord> records) {
        entry.handle(new EntryEvent.LogRead(LogStream.CONFIGURATION, records, true));
    }

    private List<LogBatch> appended() {
        return entry.effectsOf(EntryEffect.Append.class).stream()
                .map(EntryEffect.Append::batch)
                .toList();
    }

    private List<OperatorReply> replies() {
        List<OperatorReply> replies = new ArrayList<>();
        entry.effectsOf(EntryEffect.ReplyToOperator.class).forEach(effect -> replies.add(effect.reply()));
        return replies;
    }

    private static ErrorKind kind(OperatorReply reply) {
        return ((OperatorReply.Refused) reply).refusal().kind();
    }
}
