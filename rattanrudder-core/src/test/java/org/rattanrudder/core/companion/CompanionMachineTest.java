package org.rattanrudder.core.companion;

import static org.assertj.core.api.Assertions.assertThat;
import static org.rattanrudder.core.companion.CompanionDriver.ENGINE;
import static org.rattanrudder.core.companion.CompanionDriver.INCARNATION;
import static org.rattanrudder.core.companion.CompanionDriver.LEDGER;
import static org.rattanrudder.core.companion.CompanionDriver.append;
import static org.rattanrudder.core.companion.CompanionDriver.document;
import static org.rattanrudder.core.companion.CompanionDriver.id;
import static org.rattanrudder.core.companion.CompanionDriver.prompt;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.log.LogBatch;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.ErrorKind;

class CompanionMachineTest {
    private final CompanionDriver companion = CompanionDriver.ready();

    @Test
    void runsAPromptWithItsCustomersSaltAndRelaysNumberedChunks() {
        companion.frame(1, prompt(1));
        companion.answer(1, "yes", "!");
        companion.end(1);

        assertThat(companion.effectsOf(CompanionEffect.StartPrompt.class))
                .extracting(CompanionEffect.StartPrompt::cacheSalt)
                .containsExactly(Digest.of("depo-sever", "palivo-llm", "v1"));
        assertThat(companion.sent(1, Frame.Accepted.class)).hasSize(1);
        assertThat(companion.sent(1, Frame.AnswerChunk.class))
                .extracting(Frame.AnswerChunk::number)
                .containsExactly(0L, 1L);
        assertThat(companion.sent(1, Frame.AnswerEnd.class))
                .extracting(Frame.AnswerEnd::chunks)
                .containsExactly(2L);
    }

    @Test
    void limitsConcurrencyAndQueuesTheRest() {
        for (int sequence = 1; sequence <= 4; sequence++) {
            companion.frame(1, prompt(sequence));
        }
        assertThat(companion.called()).containsExactly(id(1), id(2));

        companion.answer(1);
        companion.end(1);
        assertThat(companion.called()).containsExactly(id(1), id(2), id(3));
    }

    /** Guards against a companion without documents: a peer told the revision alone, and then the log was read. */
    @Test
    void aLogReadBetweenAPeersIndexAndItsTextsBringsTheDocument() {
        CompanionDriver fresh = new CompanionDriver();
        fresh.openLink(1);
        LogEntry index = new LogEntry.RevisionIndex(0, List.of(new LogEntry.Revision(CompanionDriver.PROMPTS, 1)));
        LogRecord record = new LogRecord(1, new LogBatch(0, 0, List.of(index)));
        fresh.frame(1, new Frame.ConfigurationRecords(List.of(record)));
        fresh.publish(document(CompanionDriver.PROMPTS, 2, 8, false));

        assertThat(fresh.effectsOf(CompanionEffect.WatchTarget.class)).hasSize(1);
    }

    @Test
    void watchesExactlyTheTargetsAssignedToItsAddress() {
        CompanionDriver fresh = new CompanionDriver();
        fresh.publish(document(CompanionDriver.PROMPTS, 2, 8, false));

        assertThat(fresh.effectsOf(CompanionEffect.WatchTarget.class))
                .extracting(CompanionEffect.WatchTarget::name)
                .containsExactly(ENGINE);
    }

    @Test
    void sendsTargetStatesToEntriesEverySecond() {
        companion.advance(3_000, 1);

        assertThat(companion.sent(1, Frame.Heartbeat.class))
                .hasSizeBetween(3, 4)
                .allSatisfy(
                        heartbeat -> assertThat(heartbeat.targets()).hasSize(2).allMatch(Frame.TargetState::accepting));
    }

    /**
     * A drain must neither abort running prompts nor leave queued ones waiting for a process that is about to exit.
     * Running attempts finish, queued ones are returned as not run, and only then the process may exit.
     */
    @Test
    void drainReturnsQueuedAttemptsAndLetsRunningOnesFinish() {
        for (int sequence = 1; sequence <= 3; sequence++) {
            companion.frame(1, prompt(sequence));
        }
        companion.handle(new CompanionEvent.DrainRequested());
        companion.frame(1, prompt(4));

        assertThat(companion.sent(1, Frame.Leaving.class)).hasSize(1);
        assertThat(companion.sent(1, Frame.NotRun.class))
                .extracting(notRun -> notRun.refusal().kind())
                .containsExactly(ErrorKind.DRAINING, ErrorKind.DRAINING);
        assertThat(companion.effectsOf(CompanionEffect.Drained.class)).isEmpty();

        for (int sequence = 1; sequence <= 2; sequence++) {
            companion.answer(sequence, "yes");
            companion.end(sequence);
        }
        assertThat(companion.effectsOf(CompanionEffect.Drained.class)).hasSize(1);
        assertThat(companion.called()).containsExactly(id(1), id(2));
    }

    /**
     * A dispatch that was sent before a restart arrives at the restarted process, which can't know whether a duplicate
     * of it has run: it must not run.
     */
    @Test
    void refusesADispatchToAnotherIncarnation() {
        Frame.Dispatch own = append(1);
        companion.frame(
                1,
                new Frame.Dispatch(
                        own.attempt(),
                        INCARNATION - 1,
                        own.target(),
                        own.service(),
                        own.customer(),
                        own.requestClass(),
                        own.priority(),
                        own.deadlineMicros(),
                        own.weightVersion(),
                        own.idempotencyKey(),
                        own.idempotent(),
                        own.call(),
                        own.prompt()));

        assertThat(companion.sent(1, Frame.NotRun.class))
                .extracting(notRun -> notRun.refusal().kind())
                .containsExactly(ErrorKind.STALE_INCARNATION);
        assertThat(companion.called()).isEmpty();
    }

    @Test
    void drainingTargetGetsNoNewAttempts() {
        companion.publish(document(LEDGER, 2, 8, true));
        companion.frame(1, append(1));

        assertThat(companion.sent(1, Frame.NotRun.class))
                .extracting(notRun -> notRun.refusal().kind())
                .containsExactly(ErrorKind.DRAINING);
    }
}
