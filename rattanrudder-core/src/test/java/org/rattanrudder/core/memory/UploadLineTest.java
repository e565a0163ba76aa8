package org.rattanrudder.core.memory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.memory.UploadLine.Outcome;
import org.rattanrudder.core.memory.UploadLine.Upload;

class UploadLineTest {
    private static final int PRIORITY = 3;

    /** Room for large bodies of 60 in all, of which one caller gets 48. */
    private final ByteBudget budget = new ByteBudget(100);

    private final UploadLine<String> line = new UploadLine<>(budget);
    private final Map<String, Holding> holdings = new HashMap<>();

    private Outcome<String> arrive(String name, String caller, long bytes, int priority, long now, long deadlineAt) {
        Holding holding = budget.holding(ByteUse.UPLOAD, caller);
        holdings.put(name, holding);
        line.add(new Upload<>(name, holding, bytes, priority, now, deadlineAt));
        return line.update(now);
    }

    private Outcome<String> arrive(String name, String caller, long bytes) {
        return arrive(name, caller, bytes, PRIORITY, 0, 1_000_000);
    }

    /** Guards against a process that reads more large bodies at once than it can hold. */
    @Test
    void aBodyIsReadOnlyOnceThereIsRoomForAllOfIt() {
        assertThat(arrive("one", "a", 40).granted()).containsExactly("one");
        assertThat(arrive("two", "b", 30).granted()).isEmpty();

        holdings.get("one").close();

        assertThat(line.update(1).granted()).containsExactly("two");
    }

    /** Guards against bodies that are never read since smaller or less urgent ones always fit before them. */
    @Test
    void urgentAndSmallBodiesComeFirstAndNoneOvertakesOneThatWaitsForRoom() {
        arrive("held", "a", 40);
        arrive("late", "b", 22, 5, 0, 1_000_000);
        arrive("urgent", "c", 30, 1, 0, 1_000_000);
        assertThat(arrive("small", "d", 1, 4, 0, 1_000_000).granted()).isEmpty();

        holdings.get("held").close();

        assertThat(line.update(1).granted()).containsExactly("urgent", "small", "late");
    }

    /** Guards against one caller whose many large bodies keep those of all others waiting. */
    @Test
    void aCallerThatHoldsItsShareKeepsBackNobodyElse() {
        arrive("one", "a", 24);
        arrive("two", "a", 20);
        assertThat(arrive("three", "a", 10).granted()).isEmpty();

        assertThat(arrive("other", "b", 10).granted()).containsExactly("other");
    }

    /** Guards against callers that wait for what is known not to come in time. */
    @Test
    void aBodyWhoseTurnComesTooLateIsRejectedAtOnceWithATimeToReturn() {
        arrive("held", "a", 40);
        line.onGivenBack(2_000);

        assertThat(arrive("hasty", "b", 40, PRIORITY, 0, 2_500).rejected()).containsExactly("hasty");
        assertThat(arrive("patient", "b", 40, PRIORITY, 0, 20_000).rejected()).isEmpty();
        Outcome<String> next = arrive("next", "b", 40, PRIORITY, 0, 5_000);

        assertThat(next.rejected()).containsExactly("next");
        assertThat(next.retryAfterMillis()).isBetween(1_000L, 4_000L);
        assertThat(line.update(19_000).rejected()).containsExactly("patient");
        assertThat(line.waitingBytes()).isZero();
    }

    @Test
    void aBodyThatCanNeverBeHeldIsRejectedAndKeepsBackNobody() {
        Outcome<String> outcome = arrive("huge", "a", 61);

        assertThat(outcome.rejected()).containsExactly("huge");
        assertThat(arrive("next", "a", 60).granted()).containsExactly("next");
    }

    /** Guards against requests that are forgotten in the line, and against room that nobody gets. */
    @Property(seed = "6764", tries = 200)
    void eachRequestIsGrantedOrRejectedOnceAndRoomIsNeverLeftUnused(@ForAll @IntRange(max = 1_000_000) int seed) {
        Random random = new Random(seed);
        Set<String> waiting = new HashSet<>();
        List<String> held = new ArrayList<>();
        long now = 0;
        for (int step = 0; step < 200; step++) {
            now += random.nextInt(50);
            if (random.nextInt(3) > 0) {
                String name = "r" + step;
                waiting.add(name);
                Holding holding = budget.holding(ByteUse.UPLOAD, "caller-" + random.nextInt(3));
                holdings.put(name, holding);
                line.add(new Upload<>(
                        name, holding, 1 + random.nextInt(50), random.nextInt(3), now, now + random.nextInt(4_000)));
            } else if (!held.isEmpty()) {
                holdings.get(held.remove(random.nextInt(held.size()))).close();
                line.onGivenBack(random.nextInt(400));
            } else if (!waiting.isEmpty()) {
                String left = waiting.iterator().next();
                waiting.remove(left);
                line.remove(left);
                holdings.get(left).close();
            }
            Outcome<String> outcome = line.update(now);
            outcome.granted().forEach(name -> assertThat(waiting.remove(name)).isTrue());
            outcome.rejected().forEach(name -> {
                assertThat(waiting.remove(name)).isTrue();
                assertThat(holdings.get(name).bytes()).isZero();
            });
            held.addAll(outcome.granted());
            assertThat(line.size()).isEqualTo(waiting.size());
            assertThat(held.isEmpty() && !waiting.isEmpty()).as("stands still").isFalse();
        }
        held.forEach(name -> holdings.get(name).close());
        line.update(now + 10_000).granted().forEach(name -> holdings.get(name).close());

        assertThat(line.size()).isZero();
        assertThat(budget.held()).isZero();
    }
}
