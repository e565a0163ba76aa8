package org.rattanrudder.core.companion;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.call.Call;
import org.rattanrudder.core.call.PromptShape;
import org.rattanrudder.core.call.Usage;
import org.rattanrudder.core.companion.CompanionEffect.ExportBlock;
import org.rattanrudder.core.companion.CompanionEffect.FetchBlock;
import org.rattanrudder.core.companion.CompanionEffect.LookUpBlocks;
import org.rattanrudder.core.companion.CompanionEffect.StartPrompt;
import org.rattanrudder.core.companion.CompanionEvent.MoveOutcome;
import org.rattanrudder.core.companion.CompanionEvent.StoredBlock;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.document.StoreSettings;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.TargetName;

class StoredContextMoverTest {
    private static final long BLOCK_BYTES = 200_000;
    private static final PromptShape DOSSIER =
            new PromptShape(4_050, List.of(Digest.of("dossier", "0"), Digest.of("dossier", "1")));

    private final CompanionDriver driver = CompanionDriver.ready();

    @BeforeEach
    void serveWithAStore() {
        ServiceDocument plain = CompanionDriver.document(CompanionDriver.PROMPTS, 2, 8, false);
        driver.publish(new ServiceDocument(
                plain.service(),
                plain.kind(),
                plain.model(),
                plain.targets(),
                List.of(new StoreSettings("store-a", new Address("127.0.0.1", 9100), "depo-juh", 10_000_000)),
                plain.customers(),
                plain.classes(),
                plain.calls(),
                plain.cache(),
                plain.limits()));
        driver.advance(6_000, 1);
        driver.reportVersion("v1");
        driver.effects.clear();
    }

    @Test
    void fetchesExportedBlocksBeforeTheNextCall() {
        run(1, 0);
        for (ExportBlock export : driver.effectsOf(ExportBlock.class)) {
            driver.handle(new CompanionEvent.MoveEnded(export.move(), MoveOutcome.DONE, BLOCK_BYTES));
        }
        assertThat(driver.effectsOf(ExportBlock.class)).hasSize(2);
        driver.handle(new CompanionEvent.CacheEventsReported(CompanionDriver.ENGINE, true, List.of()));
        driver.advance(2_000, 1);
        driver.effects.clear();

        driver.frame(1, prompt(2));
        assertThat(driver.effectsOf(StartPrompt.class)).isEmpty();
        answerLookups();
        assertThat(driver.effectsOf(StartPrompt.class)).isEmpty();
        endFetches(MoveOutcome.DONE);

        assertThat(driver.effectsOf(StartPrompt.class)).hasSize(1);
        driver.answer(2, "yes");
        driver.handle(new CompanionEvent.TargetAnswerEnded(CompanionDriver.id(2), new Usage(4_050, 4_000, 0, 0, 1, 0)));
        Frame.AnswerEnd end = driver.sent(1, Frame.AnswerEnd.class).get(0);
        assertThat(end.usage().fetchedTokens()).isEqualTo(4_000);
        assertThat(end.usage().fetchedBytes()).isEqualTo(2 * BLOCK_BYTES);
    }

    /**
     * An attempt is cancelled while its context is being fetched, and the fetch ends afterwards. The engine must not be
     * called for it any more.
     */
    @Test
    void attemptCancelledDuringItsFetchIsNeverCalled() {
        driver.frame(1, prompt(2));
        answerLookups();
        driver.frame(1, new Frame.Cancel(CompanionDriver.id(2)));
        endFetches(MoveOutcome.DONE);
        driver.advance(3_000, 1);

        assertThat(driver.sent(1, Frame.NotRun.class)).hasSize(1);
        assertThat(driver.effectsOf(StartPrompt.class)).isEmpty();
    }

    /** Neither a lookup nor a fetch ever ends; the prompt must run nevertheless. */
    @Test
    void callsAPromptWhenItsStoreNeverAnswers() {
        driver.frame(1, prompt(2));
        driver.advance(100, 1);
        assertThat(driver.effectsOf(StartPrompt.class)).hasSize(1);

        driver.advance(2_000, 1);
        driver.frame(1, prompt(3));
        answerLookups();
        driver.advance(2_000, 1);
        assertThat(driver.effectsOf(StartPrompt.class)).hasSize(2);
    }

    private void run(long sequence, int cachedTokens) {
        driver.frame(1, prompt(sequence));
        driver.effectsOf(LookUpBlocks.class)
                .forEach(
                        lookup -> driver.handle(new CompanionEvent.BlockLookupEnded(lookup.lookup(), List.of(), true)));
        driver.answer(sequence, "yes");
        driver.handle(new CompanionEvent.TargetAnswerEnded(
                CompanionDriver.id(sequence), new Usage(4_050, cachedTokens, 0, 0, 1, 0)));
    }

    private void answerLookups() {
        for (LookUpBlocks lookup : driver.effectsOf(LookUpBlocks.class)) {
            List<StoredBlock> found = lookup.blocks().stream()
                    .map(block -> new StoredBlock(block, 7, 1, BLOCK_BYTES, Digest.of("content")))
                    .toList();
            driver.handle(new CompanionEvent.BlockLookupEnded(lookup.lookup(), found, true));
        }
    }

    private void endFetches(MoveOutcome outcome) {
        assertThat(driver.effectsOf(FetchBlock.class)).hasSize(2);
        for (FetchBlock fetch : driver.effectsOf(FetchBlock.class)) {
            driver.handle(new CompanionEvent.MoveEnded(fetch.move(), outcome, BLOCK_BYTES));
        }
    }

    private static Frame.Dispatch prompt(long sequence) {
        Frame.Dispatch plain = CompanionDriver.prompt(sequence);
        TargetName target = plain.target();
        return new Frame.Dispatch(
                plain.attempt(),
                plain.companionIncarnation(),
                target,
                plain.service(),
                plain.customer(),
                plain.requestClass(),
                plain.priority(),
                plain.deadlineMicros(),
                plain.weightVersion(),
                Optional.empty(),
                true,
                new Call("POST", "/", List.of(), new byte[0]),
                DOSSIER);
    }
}
