package org.rattanrudder.standins;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.AfterTestExecutionCallback;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.rattanrudder.standins.deployment.StandInSizes;
import org.rattanrudder.standins.load.Answer;

class EndOfGraceTest {
    private static final String SERVICE = "palivo-llm";
    private static final int ENDLESS_TOKENS = 100_000;
    private static final int GRACE_SECONDS = 3;

    @RegisterExtension
    final AfterTestExecutionCallback lines = RunningSystem.printLinesOfFailures(() -> this.system);

    private RunningSystem system;

    /** Guards against an entry that ends with its callers' connections, without a last answer. */
    @Test
    void anAnswerThatOutlastsTheGraceEndsWithAnError() throws Exception {
        system = RunningSystem.start(
                StandInSizes.SMALL,
                text -> text.replace("\"drainSeconds\": 30", "\"drainSeconds\": " + GRACE_SECONDS),
                SERVICE);
        try {
            CompletableFuture<Answer> endless =
                    system.caller(SERVICE, 0).prompt(system.entry(0), SERVICE, "", "record", ENDLESS_TOKENS);
            Await.until(
                    "an engine has it",
                    () -> system.engine(SERVICE, 0).arrivals()
                                    + system.engine(SERVICE, 1).arrivals()
                            > 0);
            Process entry = system.process(system.layout().entries().get(0).name());
            entry.destroy();

            Answer answer = endless.get(4 * GRACE_SECONDS, TimeUnit.SECONDS);
            assertThat(answer.errorKind()).isEqualTo("outcome_unknown");
            assertThat(answer.isDone()).isFalse();
            assertThat(entry.waitFor(4 * GRACE_SECONDS, TimeUnit.SECONDS)).isTrue();
        } finally {
            system.close();
        }
    }
}
