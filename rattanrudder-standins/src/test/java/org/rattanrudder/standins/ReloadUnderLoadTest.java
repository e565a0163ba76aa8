package org.rattanrudder.standins;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.rattanrudder.standins.deployment.Layout;
import org.rattanrudder.standins.load.Answer;
import org.rattanrudder.standins.load.Caller;

class ReloadUnderLoadTest extends RunningSystemFixture {
    /** At 2 ms a token the answer goes on for four seconds. */
    private static final int ANSWER_TOKENS = 2_000;

    @Test
    void anAnswerGoesOnWhenItsEntryAndItsCompanionsReadTheirSettingsAgain() {
        // Settings are rolled out in the middle of the day: every process is told to read them again while a prompt
        // streams. Taken for a request to stop, as the virtual machine takes that signal, it would make all of them
        // drain at once and be away until somebody starts them again.
        String entry = system.layout().entries().get(0).name();
        String text = "record of pump 7";
        Caller caller = system.caller(SERVICE, 0);
        long before = arrivals();
        CompletableFuture<Answer> answer = caller.prompt(system.entry(0), SERVICE, "", text, ANSWER_TOKENS);
        Await.until("an engine has it", () -> arrivals() > before);
        for (Layout.Process process : system.layout().processes()) {
            system.readSettingsAgain(process.name());
            awaitLine(process.name(), "event=settings_read because=signal in_force=none need_restart=none");
        }
        assertThat(answer).as("the answer goes on while all of them are told").isNotDone();
        for (Layout.Process process : system.layout().processes()) {
            String name = process.name();
            system.writeSettings(name, process.text().replace("\"drainSeconds\": 30", "\"drainSeconds\": 31"));
            system.readSettingsAgain(name);
            awaitLine(name, "event=settings_read because=(signal|file) in_force=none need_restart=drainSeconds");
        }

        assertThat(answer.join().error()).isEmpty();
        assertThat(answer.join().content()).isEqualTo(Caller.expected(text, ANSWER_TOKENS));
        assertThat(answer.join().isDone()).isTrue();
        for (Layout.Process process : system.layout().processes()) {
            assertThat(system.log(process.name())).doesNotContain("event=draining");
            assertThat(system.process(process.name()).isAlive()).isTrue();
        }
        assertThat(caller.prompt(system.entry(0), SERVICE, "", "another record", 10)
                        .join()
                        .isDone())
                .as(entry + " takes prompts")
                .isTrue();
    }

    private long arrivals() {
        return system.engine(SERVICE, 0).arrivals() + system.engine(SERVICE, 1).arrivals();
    }

    private void awaitLine(String process, String pattern) {
        Await.until(
                process + " logs a line like " + pattern,
                () -> system.log(process).lines().anyMatch(line -> line.matches(".*" + pattern + ".*"))
                        || !system.process(process).isAlive());
        assertThat(system.process(process).isAlive())
                .as(process + " runs; its log:\n" + system.log(process))
                .isTrue();
    }
}
