package org.rattanrudder.core.companion;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.RunState;

class CompanionPropertiesTest {
    private static final int STEPS = 150;
    private static final int REQUESTS = 25;

    /**
     * Frames are duplicated, delayed, reordered and sent over old links, links break, entries disconnect, targets fail
     * and swap weights, and the companion drains, in any order. No attempt may run twice, or run after its caller was
     * told that it didn't.
     */
    @Property(seed = "41", tries = 400)
    void noAttemptRunsTwiceOrAfterItWasReportedNotRun(@ForAll long randomSeed) {
        CompanionDriver companion = CompanionDriver.ready();
        RandomEvents events = new RandomEvents(new Random(randomSeed));
        Set<AttemptId> called = new HashSet<>();
        Set<AttemptId> reportedNotRun = new HashSet<>();
        for (int step = 0; step < STEPS; step++) {
            companion.effects.clear();
            events.next(companion);
            for (CompanionEffect effect : companion.effects) {
                check(effect, events.neverSent, called, reportedNotRun);
            }
        }
    }

    @Property(seed = "42", tries = 50)
    void sameEventsHaveSameEffects(@ForAll long randomSeed) {
        assertThat(run(randomSeed)).isEqualTo(run(randomSeed));
    }

    private static void check(
            CompanionEffect effect, Set<AttemptId> neverSent, Set<AttemptId> called, Set<AttemptId> reportedNotRun) {
        if (effect instanceof CompanionEffect.StartCall start) {
            assertThat(called.add(start.attempt())).as("%s runs once", start).isTrue();
            assertThat(reportedNotRun).as("reported as not run").doesNotContain(start.attempt());
        } else if (effect instanceof CompanionEffect.StartPrompt start) {
            assertThat(called.add(start.attempt())).as("%s runs once", start).isTrue();
            assertThat(reportedNotRun).as("reported as not run").doesNotContain(start.attempt());
        } else if (effect instanceof CompanionEffect.SendFrame send && send.frame() instanceof Frame.NotRun notRun) {
            reportedNotRun.add(notRun.attempt());
            assertThat(called.contains(notRun.attempt()) && !neverSent.contains(notRun.attempt()))
                    .as("%s was called", notRun)
                    .isFalse();
        } else if (effect instanceof CompanionEffect.SendFrame send
                && send.frame() instanceof Frame.AnswerFailed failed) {
            assertThat(failed.refusal().kind().runState())
                    .as("an attempt that may have run is not reported as not run")
                    .isEqualTo(RunState.UNKNOWN);
        }
    }

    private static List<String> run(long randomSeed) {
        CompanionDriver companion = CompanionDriver.ready();
        RandomEvents events = new RandomEvents(new Random(randomSeed));
        for (int step = 0; step < STEPS; step++) {
            events.next(companion);
        }
        return companion.effects.stream()
                .map(effect -> effect.toString().replaceAll("\\[B@[0-9a-f]+", "bytes"))
                .toList();
    }

    /** Draws random events of entries, links and targets, in any order. */
    private static final class RandomEvents {
        private final Random random;
        private final Set<AttemptId> neverSent = new HashSet<>();
        private final List<Integer> liveLinks = new ArrayList<>(List.of(1));
        private int links = 1;

        RandomEvents(Random random) {
            this.random = random;
        }

        void next(CompanionDriver companion) {
            int action = random.nextInt(100);
            if (action < 60) {
                companion.frame(1 + random.nextInt(links), frame());
            } else if (action < 80) {
                targetEvent(companion);
            } else if (action < 90) {
                companion.advance(random.nextInt(10) == 0 ? 6_000 : random.nextInt(300), liveLinks());
            } else if (action < 94) {
                liveLinks.clear();
                liveLinks.add(++links);
                companion.openLink(links);
            } else if (action < 96) {
                liveLinks.clear();
                companion.handle(new CompanionEvent.LinkClosed(links));
            } else if (action < 99) {
                companion.reportVersion(random.nextInt(4) == 0 ? "v2" : "v1");
            } else if (random.nextInt(4) == 0) {
                companion.handle(new CompanionEvent.DrainRequested());
            }
        }

        private Frame frame() {
            long sequence = 1 + random.nextInt(REQUESTS);
            AttemptId id = CompanionDriver.id(sequence);
            int kind = random.nextInt(10);
            if (kind < 6) {
                return sequence % 2 == 0 ? CompanionDriver.prompt(sequence) : CompanionDriver.append(sequence);
            }
            if (kind < 7) {
                return new Frame.Cancel(id);
            }
            return kind < 9
                    ? new Frame.Resume(id, CompanionDriver.INCARNATION, random.nextInt(3))
                    : new Frame.Credit(id, 1);
        }

        private void targetEvent(CompanionDriver companion) {
            List<AttemptId> open = companion.openCalls();
            if (open.isEmpty()) {
                return;
            }
            AttemptId id = open.get(random.nextInt(open.size()));
            int kind = random.nextInt(6);
            if (kind < 2) {
                companion.answer(id.sequence(), "yes");
            } else if (kind < 4) {
                companion.end(id.sequence());
            } else {
                boolean nothingSent = kind == 4 && !companion.hasStartedAnswer(id);
                if (nothingSent) {
                    neverSent.add(id);
                }
                companion.handle(new CompanionEvent.TargetFailed(id, nothingSent, "broken"));
            }
        }

        private long[] liveLinks() {
            return liveLinks.stream().mapToLong(Integer::longValue).toArray();
        }
    }
}
