package org.rattanrudder.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanrudder.core.configuration.EditDecision.Verdict;
import org.rattanrudder.core.log.LogBatch;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.model.ServiceName;

class ConfigurationLedgerTest {
    private static final ServiceName PALIVO = new ServiceName("palivo-llm");
    private static final ServiceName LEDGER = new ServiceName("fuel-ledger");

    private final ConfigurationLedger ledger = new ConfigurationLedger();

    static Stream<Arguments> baseAndVerdict() {
        return Stream.of(
                Arguments.of("from the revision in force", 2, Verdict.ACCEPTED),
                Arguments.of("from an older revision", 1, Verdict.VOID),
                Arguments.of("as if the service were new", 0, Verdict.VOID),
                Arguments.of("from an offset that held nothing", 3, Verdict.VOID),
                Arguments.of("from a revision that is yet to come", 4, Verdict.VOID));
    }

    @ParameterizedTest(name = "an edit {0} is {2}")
    @MethodSource("baseAndVerdict")
    void anEditIsAcceptedOnlyIfItsBaseIsTheRevisionInForce(String description, long base, Verdict verdict) {
        ledger.apply(record(1, edit(0, "first")));
        ledger.apply(record(2, edit(1, "second")));
        ledger.apply(record(3, edit(1, "too late")));
        List<EditDecision> decisions = ledger.apply(record(4, edit(base, "third")));
        assertThat(decisions).singleElement().extracting(EditDecision::verdict).isEqualTo(verdict);
        assertThat(ledger.revision(PALIVO)).isEqualTo(verdict == Verdict.ACCEPTED ? 4 : 2);
    }

    /** Guards against a document that no edit ever replaces, by a revision of another writer that was never given. */
    @ParameterizedTest
    @ValueSource(longs = {3, Long.MAX_VALUE})
    void aRevisionThatWasNeverGivenChangesNothing(long revision) {
        ledger.apply(record(1, edit(0, "first")));
        ledger.apply(record(2, refresh(revision, "odd")));
        ledger.apply(record(
                3, new LogEntry.RevisionIndex(2, List.of(new LogEntry.Revision(PALIVO, Math.max(4, revision))))));
        assertThat(ledger.document(PALIVO)).hasValue(new DocumentRevision(PALIVO, 1, Optional.of("first"), 0));

        ledger.apply(record(4, edit(1, "second")));
        assertThat(ledger.revision(PALIVO)).isEqualTo(4);
    }

    @Test
    void aRefreshByALaggingProcessDoesNotRevertANewerEdit() {
        // Failure: an accepted edit is reverted. A process that had not yet read the edit refreshes the older document,
        // and readers take the later offset for the newer text.
        ledger.apply(record(1, edit(0, "old")));
        ledger.apply(record(2, edit(1, "new")));
        ledger.apply(record(3, refresh(1, "old")));
        assertThat(ledger.document(PALIVO)).hasValue(new DocumentRevision(PALIVO, 2, Optional.of("new"), 0));
    }

    @Test
    void aReaderThatMissedTheFirstRecordsDecidesNoEditFromALaggingRefresh() {
        // Failure: readers diverge permanently. A process that starts after retention dropped edits 1 and 2 reads the
        // refresh of revision 1 first and then accepts an edit based on 1, which is void at all other readers.
        ConfigurationLedger late = new ConfigurationLedger();
        List<LogRecord> log = List.of(
                record(1, edit(0, "old")),
                record(2, edit(1, "new")),
                record(3, refresh(1, "old")),
                record(4, edit(1, "void")),
                record(5, new LogEntry.RevisionIndex(4, List.of(new LogEntry.Revision(PALIVO, 2)))),
                record(6, refresh(2, "new")));
        log.forEach(ledger::apply);
        log.subList(2, 4).forEach(late::apply);
        assertThat(late.isComplete()).isFalse();
        assertThat(late.revision(PALIVO)).isEqualTo(1);
        log.subList(4, 6).forEach(late::apply);
        assertThat(late.isComplete()).isTrue();
        assertThat(late.documents()).extracting(DocumentRevision::revision).containsExactly(ledger.revision(PALIVO));
        assertThat(late.document(PALIVO).flatMap(DocumentRevision::text)).hasValue("new");
    }

    @Test
    void anIndexThatDoesNotFollowTheRecordItNamesIsVoid() {
        // Failure: a restarted process uses an old document. It starts from an index whose writer had not read the edit
        // that was appended just before the index.
        ConfigurationLedger late = new ConfigurationLedger();
        late.apply(record(7, edit(3, "new")));
        late.apply(record(8, new LogEntry.RevisionIndex(6, List.of(new LogEntry.Revision(PALIVO, 3)))));
        assertThat(late.isComplete()).isFalse();
        late.apply(record(9, new LogEntry.RevisionIndex(8, List.of(new LogEntry.Revision(PALIVO, 7)))));
        assertThat(late.isComplete()).isTrue();
        assertThat(late.document(PALIVO).flatMap(DocumentRevision::text)).hasValue("new");
    }

    @Test
    void aProcessStartedDuringALogOutageUsesAPeersStateAndThenFollowsTheLog() {
        // Failure: a companion that is restarted during an outage of the log refuses every request, or falls back to
        // the oldest retained record after the outage. It must use its peer's state, and then replay the log from the
        // start.
        List<LogRecord> log = List.of(
                record(1, edit(0, "one")),
                record(2, edit(1, "two")),
                record(3, edit(1, "void")),
                record(4, edit(2, "4")));
        log.subList(0, 3).forEach(ledger::apply);
        ConfigurationLedger started = new ConfigurationLedger();
        ledger.snapshot().forEach(started::apply);
        assertThat(started.document(PALIVO).flatMap(DocumentRevision::text)).hasValue("two");
        log.subList(0, 3).forEach(started::apply);
        assertThat(started.revision(PALIVO)).isEqualTo(2);
        log.subList(3, 4).forEach(started::apply);
        assertThat(started.revision(PALIVO)).isEqualTo(4);
        assertThat(started.isComplete()).isTrue();
    }

    /** Guards against a service whose revision is known, from a peer, and whose text in the log is passed over. */
    @ParameterizedTest(name = "{0} records of the peer, the log, the rest of the peer")
    @ValueSource(ints = {0, 1, 2, 3})
    void aLogReadBetweenAPeersRecordsBringsAllTexts(int recordsBefore) {
        List<LogRecord> log = List.of(
                record(1, edit(0, "one")),
                record(2, new LogEntry.DocumentEdit(LEDGER, 0, "a")),
                record(3, edit(1, "two")));
        log.forEach(ledger::apply);
        ConfigurationLedger started = new ConfigurationLedger();
        ledger.snapshot().subList(0, recordsBefore).forEach(started::apply);
        log.forEach(started::apply);
        assertThat(started.lacksText()).isFalse();
        assertThat(started.documents())
                .extracting(each -> each.text().orElse("none"))
                .containsExactly("a", "two");
        assertThat(started.isComplete()).isTrue();
    }

    /** Guards against the text of an edit that is void, beside the accepted one of the same record. */
    @Test
    void ofTwoEditsInOneRecordNeitherIsTakenForAKnownRevision() {
        LogRecord both = new LogRecord(2, new LogBatch(1, 2, List.of(edit(0, "void"), edit(1, "two"))));
        List<LogRecord> log = List.of(record(1, edit(0, "one")), both);
        log.forEach(ledger::apply);
        ConfigurationLedger started = new ConfigurationLedger();
        started.apply(ledger.snapshot().get(0));
        log.forEach(started::apply);
        assertThat(started.lacksText()).isTrue();
        ledger.snapshot().forEach(started::apply);
        assertThat(started.document(PALIVO).flatMap(DocumentRevision::text)).hasValue("two");
    }

    private static LogEntry edit(long base, String text) {
        return new LogEntry.DocumentEdit(PALIVO, base, text);
    }

    private static LogEntry refresh(long revision, String text) {
        return new LogEntry.DocumentRefresh(PALIVO, revision, text);
    }

    private static LogRecord record(long offset, LogEntry entry) {
        return new LogRecord(offset, new LogBatch(1, offset, List.of(entry)));
    }
}
