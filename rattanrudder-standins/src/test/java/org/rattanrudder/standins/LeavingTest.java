package org.rattanrudder.standins;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.rattanrudder.document.DocumentEditor;
import org.rattanrudder.standins.deployment.Operator;
import org.rattanrudder.standins.load.Answer;
import org.rattanrudder.standins.load.Caller;

class LeavingTest extends RunningSystemFixture {
    private static final long FEW_SECONDS_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long OBSERVED_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final int ANSWER_TOKENS = 100;

    @Test
    void anEntryAskedToStopUnderLoadFinishesEveryAnswer() throws Exception {
        // An entry is replaced in the middle of the morning. Clerks whose answers are half-way would otherwise get a
        // broken stream, and a bus would miss its run.
        List<Prompted> running = startPrompts(0, 8);
        Process entry = system.process(system.layout().entries().get(0).name());
        entry.destroy();

        assertAllWhole(running);
        assertThat(entry.waitFor(20, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void aCompanionAskedToStopUnderLoadFinishesEveryAnswer() throws Exception {
        // A target's slot is emptied for an upgrade while requests run on it and others are on their way to it.
        List<Prompted> running = startPrompts(0, 8);
        Process companion = system.process(system.companionOf(SERVICE, 0));
        companion.destroy();
        running.addAll(startPrompts(1, 4));

        assertAllWhole(running);
        assertThat(companion.waitFor(20, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void aDrainingTargetGetsNoNewWorkAfterThreeSecondsThoughTheListStillNamesIt() {
        // An operator drains an engine before its machine is taken away. The platform's list, which lags, still calls
        // it
        // live; work that goes there later would be cut off with the machine.
        Operator operator = system.operator(0);
        String text = system.layout().document(SERVICE).text();
        String target = system.target(SERVICE, 0).name().value();
        String drained = DocumentEditor.setDraining(text, target, true).orElseThrow();
        assertAllWhole(startPrompts(0, 4));
        assertThat(operator.publish(SERVICE, operator.revision(SERVICE), drained)
                        .status())
                .isEqualTo(200);
        long published = System.nanoTime();
        for (int round = 0; System.nanoTime() - published < OBSERVED_NANOS; round++) {
            assertAllWhole(startPrompts(round % 2, 3));
        }

        assertThat(system.engine(SERVICE, 0).lastArrivalNanos() - published).isLessThan(FEW_SECONDS_NANOS);
        assertThat(system.engine(SERVICE, 1).lastArrivalNanos() - published).isGreaterThan(FEW_SECONDS_NANOS);
    }

    /** Starts prompts of different contexts, so that both engines get some, and waits until the engines have them. */
    private List<Prompted> startPrompts(int entry, int count) {
        Caller caller = system.caller(SERVICE, 0);
        long before = arrivals();
        List<Prompted> prompted = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            String text = "record " + before + " of pump " + entry + "." + number;
            prompted.add(new Prompted(text, caller.prompt(system.entry(entry), SERVICE, "", text, ANSWER_TOKENS)));
        }
        Await.until("the engines have some of them", () -> arrivals() > before);
        return prompted;
    }

    private long arrivals() {
        return system.engine(SERVICE, 0).arrivals() + system.engine(SERVICE, 1).arrivals();
    }

    private static void assertAllWhole(List<Prompted> prompted) {
        for (Prompted each : prompted) {
            Answer answer = each.answer().join();
            assertThat(answer.error()).isEmpty();
            assertThat(answer.content()).isEqualTo(Caller.expected(each.text(), ANSWER_TOKENS));
            assertThat(answer.isDone()).isTrue();
        }
    }

    private record Prompted(String text, CompletableFuture<Answer> answer) {}
}
