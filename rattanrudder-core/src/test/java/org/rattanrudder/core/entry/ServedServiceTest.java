package org.rattanrudder.core.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.rattanrudder.core.entry.TestDocuments.target;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.document.ModelSettings;
import org.rattanrudder.core.document.ServiceDocument;

class ServedServiceTest {
    /**
     * Callers get 503 version_changed while new weights load: the document with the new version is in force, every
     * engine still serves the previous one, and attempts request only the new version. An engine with a version that
     * was
     * in no document must still get no work.
     */
    @ParameterizedTest
    @CsvSource({"v1, v1", "v2, v2", "v3, v3", "other, v3"})
    void duringARolloutAnAttemptRequestsTheVersionThatItsTargetServes(String reported, String expected) {
        ServiceDocument first = TestDocuments.prompts(target(1));
        EntryDriver driver = EntryDriver.ready(first);
        long second = driver.publish(withVersion(first, "v2"), 1);
        driver.publish(withVersion(first, "v3"), second);

        driver.heartbeat(1, 100, reported);
        driver.prompt("shift sheet");

        assertThat(driver.lastDispatch().weightVersion()).isEqualTo(expected);
    }

    private static ServiceDocument withVersion(ServiceDocument document, String version) {
        return new ServiceDocument(
                document.service(),
                document.kind(),
                Optional.of(new ModelSettings("palivo", version, List.of())),
                document.targets(),
                document.stores(),
                document.customers(),
                document.classes(),
                document.calls(),
                document.cache(),
                document.limits());
    }
}
