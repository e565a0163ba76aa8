package org.rattanrudder.standins;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.AfterTestExecutionCallback;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.rattanrudder.standins.deployment.Operator;
import org.rattanrudder.standins.load.Answer;

class ConfigurationChangeTest {
    private static final String SERVICE = "fuel-ledger";
    private static final long IN_FORCE_NANOS = TimeUnit.SECONDS.toNanos(4);

    @RegisterExtension
    final AfterTestExecutionCallback lines = RunningSystem.printLinesOfFailures(() -> this.system);

    private RunningSystem system;
    private String text;

    @BeforeEach
    void start() {
        system = RunningSystem.start(SERVICE);
        text = system.layout().document(SERVICE).text();
    }

    @AfterEach
    void stop() {
        system.close();
    }

    @Test
    void aChangeIsInForceEverywhereWithinFourSeconds() {
        long base = system.operator(0).revision(SERVICE);
        long published = System.nanoTime();
        Answer answer = system.operator(0).publish(SERVICE, base, text.replace("\"share\": 40", "\"share\": 41"));
        long revision = answer.json().path("revision").asLong();

        assertThat(revision).isGreaterThan(base);
        Await.until("it is in force everywhere", () -> isEverywhere(revision));
        assertThat(System.nanoTime() - published).isLessThan(IN_FORCE_NANOS);
    }

    @Test
    void ofTwoEditsOfOneRevisionOneHoldsAndTheOtherOperatorIsTold() {
        // Two operators edit the same revision at two entries. If the later one simply won, the first one's accepted
        // change would be gone without a word.
        long base = system.operator(0).revision(SERVICE);
        Answer first = system.operator(0).publish(SERVICE, base, text.replace("\"share\": 40", "\"share\": 42"));
        Answer second = system.operator(1).publish(SERVICE, base, text.replace("\"share\": 40", "\"share\": 43"));

        assertThat(first.status()).isEqualTo(200);
        assertThat(second.errorKind()).isEqualTo("revision_conflict");
        long revision = first.json().path("revision").asLong();
        Await.until("the first is in force everywhere", () -> isEverywhere(revision));
    }

    @Test
    void aCompanionStartedInALogOutageTakesTheRevisionThatOthersHold() {
        // Two faults: the log is down, and a companion is replaced meanwhile. The new one finds nothing in the log, and
        // would refuse all work until the outage ends, though every entry knows the document.
        long revision = system.operator(0).revision(SERVICE);
        String companion = system.companionOf(SERVICE, 0);
        system.fault(system.log(), "{\"down\": true}");
        system.process(companion).destroyForcibly();
        Await.until("the old one is gone", () -> !system.process(companion).isAlive());
        system.startProcess(companion);

        Await.until("the new one has the document", () -> isEverywhere(revision));
    }

    private boolean isEverywhere(long revision) {
        for (int entry = 0; entry < 2; entry++) {
            Operator operator = system.operator(entry);
            JsonNode status = operator.status();
            int holding = 0;
            for (JsonNode companion : status.path("companions")) {
                boolean holds =
                        companion.path("connected").asBoolean() && revisionIn(companion.path("revisions")) == revision;
                holding += holds ? 1 : 0;
            }
            int companions =
                    system.layout().document(SERVICE).content().targets().size();
            if (revisionIn(status.path("services")) != revision || holding != companions) {
                return false;
            }
        }
        return true;
    }

    private static long revisionIn(JsonNode revisions) {
        for (JsonNode each : revisions) {
            if (each.path("service").asText().equals(SERVICE)) {
                return each.path("revision").asLong();
            }
        }
        return 0;
    }
}
