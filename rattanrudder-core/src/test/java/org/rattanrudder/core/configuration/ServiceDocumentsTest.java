package org.rattanrudder.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.document.CacheSettings;
import org.rattanrudder.core.document.DocumentReader;
import org.rattanrudder.core.document.LimitSettings;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.document.ServiceKind;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.log.LogBatch;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.model.ServiceName;

class ServiceDocumentsTest {
    static final ServiceName PALIVO = new ServiceName("palivo-llm");

    @Test
    void anOlderReleaseThatCannotReadAnAcceptedTextKeepsThePreviousDocument() {
        // Failure: readers diverge permanently during a rolling upgrade, because older processes hold an edit void that
        // newer ones accept. Both must accept it; the older release keeps the previous document in force.
        ServiceDocuments older = new ServiceDocuments(text -> reading(text, text.startsWith("new")));
        ServiceDocuments newer = new ServiceDocuments(text -> reading(text, false));
        List<LogRecord> log = List.of(edit(1, 0, "old"), edit(2, 1, "new field"), edit(3, 2, "old again"));
        for (ServiceDocuments each : List.of(older, newer)) {
            each.apply(log.subList(0, 1));
            each.update();
            each.apply(log.subList(1, 2));
        }
        assertThat(older.update())
                .containsExactly(new DocumentChange.Unreadable(PALIVO, 2, "line 1, column 4: unknown key"));
        assertThat(newer.update()).hasOnlyElementsOfType(DocumentChange.InForce.class);
        assertThat(older.revisions()).containsExactly(new Frame.ServiceRevision(PALIVO, 1));
        assertThat(older.ledger().revision(PALIVO)).isEqualTo(2);
        older.apply(log.subList(2, 3));
        older.update();
        assertThat(older.revisions()).containsExactly(new Frame.ServiceRevision(PALIVO, 3));
    }

    @Test
    void whileCatchingUpOnlyTheNewestTextOfEachServiceIsRead() {
        int[] readings = {0};
        ServiceDocuments documents = new ServiceDocuments(text -> {
            readings[0]++;
            return reading(text, false);
        });
        documents.apply(List.of(edit(1, 0, "a"), edit(2, 1, "b"), edit(3, 2, "c")));
        assertThat(documents.update()).extracting(DocumentChange::revision).containsExactly(3L);
        assertThat(documents.update()).isEmpty();
        assertThat(readings[0]).isEqualTo(1);
    }

    private static DocumentReader.Reading reading(String text, boolean unreadable) {
        return unreadable
                ? new DocumentReader.Invalid("line 1, column 4: unknown key")
                : new DocumentReader.Valid(document(PALIVO));
    }

    static ServiceDocument document(ServiceName service) {
        return new ServiceDocument(
                service,
                ServiceKind.PLAIN,
                Optional.empty(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                new CacheSettings(CacheSettings.Favour.FIRST_TOKEN, 2000, 1000, 5000),
                new LimitSettings(1 << 20, 100, 10_000, 3600, 0.1));
    }

    private static LogRecord edit(long offset, long base, String text) {
        return new LogRecord(offset, new LogBatch(1, offset, List.of(new LogEntry.DocumentEdit(PALIVO, base, text))));
    }
}
