package org.rattanrudder.standins;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.AfterTestExecutionCallback;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.rattanrudder.standins.load.Answer;
import org.rattanrudder.standins.load.Caller;

class LogEntryOnceTest {
    private static final String SERVICE = "fuel-ledger";
    private static final long AT_ONCE_MILLIS = 2_000;

    @RegisterExtension
    final AfterTestExecutionCallback lines = RunningSystem.printLinesOfFailures(() -> this.system);

    private RunningSystem system;
    private Caller caller;

    @BeforeEach
    void start() {
        system = RunningSystem.start(SERVICE, "palivo-llm");
        caller = system.caller(SERVICE, 0);
    }

    @AfterEach
    void stop() {
        system.close();
    }

    @Test
    void aKeyThroughBothEntriesAtOnceRunsOnce() {
        // A pump terminal loses its connection and posts again through the other entry while the first post still runs.
        // Each entry alone knows nothing of the other's, so a driver would be charged twice.
        for (int round = 0; round < 10; round++) {
            String entry = "{\"round\": " + round + "}";
            String key = "both-" + round;
            List<CompletableFuture<Answer>> posts = IntStream.range(0, 2)
                    .mapToObj(number -> caller.keyed(system.entry(number), SERVICE, "/entries", key, entry))
                    .toList();
            List<Answer> answers = posts.stream().map(CompletableFuture::join).toList();

            assertThat(answers).anyMatch(answer -> answer.status() == 201);
            assertThat(answers)
                    .allMatch(answer ->
                            answer.status() == 201 || answer.errorKind().equals("key_in_progress"));
            assertThat(system.runs(SERVICE, entry)).isEqualTo(1);
        }
    }

    @Test
    void aRepeatedKeyGetsTheFirstAnswerAndAnotherRequestUnderItIsRefused() {
        Answer first = post(0, "repeat", "48 l");
        Answer again = post(1, "repeat", "48 l");
        Answer other = post(1, "repeat", "84 l");

        assertThat(again.body()).isEqualTo(first.body());
        assertThat(other.errorKind()).isEqualTo("key_reused");
        assertThat(system.runs(SERVICE, "48 l")).isEqualTo(1);
        assertThat(system.runs(SERVICE, "84 l")).isZero();
    }

    @Test
    void aCompanionKilledInTheRunGivesUnknownAtOnceAndNeverASecondRun() {
        // The companion dies while the ledger is adding the entry. Whether it was added can't be told from outside: a
        // second try at another target would double it, and "not run" could be a lie.
        slowTargets(3_000);
        long start = System.nanoTime();
        CompletableFuture<Answer> post = caller.keyed(system.entry(0), SERVICE, "/entries", "killed", "51 l");
        int holder = targetThatRuns();
        system.process(system.companionOf(SERVICE, holder)).destroyForcibly();
        Answer answer = post.join();

        assertThat(answer.runState()).isEqualTo("unknown");
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start)).isLessThan(3_000);
        Await.until("the ledger is done", () -> system.runs(SERVICE, "51 l") == 1);
        assertThat(post(1, "killed", "51 l").runState()).isEqualTo("unknown");
        assertThat(system.runs(SERVICE, "51 l")).isEqualTo(1);
    }

    @Test
    void inALogOutageKeyedCallsAreRefusedAsNotRunAtOnceWhilePromptsGoOn() {
        // The platform's log is down, so no claim can be read back. Running without one could double the entry once the
        // log is back; holding the caller until then would be no better for the bus that waits.
        system.fault(system.log(), "{\"down\": true}");
        Answer refused = post(0, "outage", "60 l");

        assertThat(refused.runState()).isEqualTo("not_run");
        assertThat(refused.header("Retry-After")).isNotEmpty();
        assertThat(TimeUnit.NANOSECONDS.toMillis(refused.endNanos())).isLessThan(AT_ONCE_MILLIS);
        Answer prompt = system.caller("palivo-llm", 0)
                .prompt(system.entry(0), "palivo-llm", "", "still there?", 3)
                .join();
        assertThat(prompt.content()).isEqualTo(Caller.expected("still there?", 3));
        system.fault(system.log(), "{}");
        Await.until("keyed calls run again", () -> post(0, "after", "61 l").status() == 201);
        assertThat(system.runs(SERVICE, "60 l")).isZero();
        assertThat(system.runs(SERVICE, "61 l")).isEqualTo(1);
    }

    @Test
    void aLostLogAnswerAndAKilledEntryTogetherStillRunItOnce() {
        // Two faults: the log takes the claim but its answer is lost, and the entry that the terminal spoke to dies
        // before it could answer. The terminal posts again through the other entry.
        system.fault(system.log(), "{\"lose_answers\": 1}");
        slowTargets(300);
        CompletableFuture<Answer> first = caller.keyed(system.entry(0), SERVICE, "/entries", "two-faults", "70 l");
        targetThatRuns();
        system.process(system.layout().entries().get(0).name()).destroyForcibly();

        assertThat(first.join().broken()).isTrue();
        Await.until("the terminal has an answer", () -> {
            Answer answer = post(1, "two-faults", "70 l");
            return answer.status() == 201 || answer.errorKind().equals("outcome_unknown");
        });
        assertThat(system.runs(SERVICE, "70 l")).isEqualTo(1);
    }

    private Answer post(int entry, String key, String body) {
        return caller.keyed(system.entry(entry), SERVICE, "/entries", key, body).join();
    }

    private void slowTargets(long millis) {
        for (int number = 0; number < 2; number++) {
            system.plain(SERVICE, number).takeMillis(millis);
        }
    }

    /** Waits until a target runs the call and returns its number. */
    private int targetThatRuns() {
        Await.until("a target runs the call", () -> IntStream.range(0, 2).anyMatch(this::runs));
        return runs(0) ? 0 : 1;
    }

    private boolean runs(int target) {
        return system.plain(SERVICE, target).running() > 0;
    }
}
