package org.rattanrudder.core.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.rattanrudder.core.entry.TestDocuments.target;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.InstanceName;

class MembershipTest {
    /**
     * Requests wait at a target that left seconds ago: the platform's list still contains the target, and the entry
     * takes
     * a stale or missing heartbeat as permission to send work.
     */
    @ParameterizedTest
    @CsvSource({"1999999, 1", "2000000, 0"})
    void newWorkRequiresAHeartbeatYoungerThanTwoSeconds(long ageMicros, int dispatches) {
        EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1)));
        driver.advance(ageMicros / 2);
        driver.frame(1, new Frame.ConfigurationRequest(1));
        driver.advance(ageMicros - ageMicros / 2);

        driver.prompt("sheet");

        assertThat(driver.dispatches()).hasSize(dispatches);
    }

    @Test
    void aTargetThatAcceptsNoWorkGetsNone() {
        EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1)));
        driver.heartbeat(1, 100, false);

        assertThat(driver.refusal(driver.prompt("sheet"))).isEqualTo(ErrorKind.NO_TARGET);
    }

    @Test
    void aLeavingCompanionGetsNoNewWorkDespiteItsHeartbeats() {
        EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1), target(2)));
        driver.frame(1, new Frame.Leaving());
        driver.heartbeat(1, 100, true);

        for (int context = 0; context < 20; context++) {
            driver.prompt("sheet-" + context);
        }

        assertThat(driver.dispatches())
                .extracting(Frame.Dispatch::target)
                .containsOnly(target(2).name());
    }

    /** An operator drains a target whose companion hasn't read the document yet and still accepts work. */
    @Test
    void aTargetDrainedByTheDocumentGetsNoNewWork() {
        ServiceDocument before = TestDocuments.prompts(target(1), target(2));
        EntryDriver driver = EntryDriver.ready(before);
        driver.publish(TestDocuments.prompts(target(1, "depo-sever", true), target(2)), 1);

        for (int context = 0; context < 20; context++) {
            driver.prompt("sheet-" + context);
        }

        assertThat(driver.dispatches())
                .extracting(Frame.Dispatch::target)
                .containsOnly(target(2).name());
    }

    /** The list is out of date: it shows a returned target as leaving, or a drained target as active. */
    @ParameterizedTest
    @CsvSource({"true, true, 1", "false, false, 0"})
    void theListNeverOverridesACompanion(boolean listedLeaving, boolean accepting, int dispatches) {
        EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1)));
        driver.heartbeat(1, 100, accepting);
        driver.handle(new EntryEvent.InstancesListed(
                List.of(new EntryEvent.ListedInstance(target(1).address(), listedLeaving))));

        driver.prompt("sheet");

        assertThat(driver.dispatches()).hasSize(dispatches);
    }

    /**
     * A running target is considered dead: a network device lost track of the connection to its companion, which stays
     * open but carries no data, while new connections work.
     */
    @Test
    void anUnresponsiveLinkIsReplacedBeforeItsCompanionCountsAsDead() {
        EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1)));
        driver.prompt("sheet");
        driver.effects.clear();

        driver.advance(Membership.LINK_TIMEOUT_MICROS);

        List<EntryEffect> order = new ArrayList<>(driver.effects);
        assertThat(order)
                .containsSubsequence(
                        new EntryEffect.CloseLink(TestDocuments.companion(1)),
                        new EntryEffect.OpenLink(TestDocuments.companion(1)));
        assertThat(driver.effectsOf(EntryEffect.Refuse.class)).isEmpty();
        driver.openLink(1, 100);
        assertThat(driver.frames(Frame.Resume.class)).hasSize(1);
    }

    /** A heartbeat of a restarted companion arrives on a link whose hello was that of its predecessor. */
    @Test
    void aHeartbeatOfAnotherIncarnationClosesTheLink() {
        EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1)));
        driver.effects.clear();

        driver.heartbeat(1, 101, true);

        assertThat(driver.effectsOf(EntryEffect.CloseLink.class)).hasSize(1);
        assertThat(driver.refusal(driver.prompt("sheet"))).isEqualTo(ErrorKind.NO_TARGET);
    }

    @Test
    void openingALinkIsRetriedWithBackoff() {
        EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1)));
        driver.closeLink(1);
        List<Long> opened = new ArrayList<>();
        for (int tick = 0; tick < 400; tick++) {
            driver.effects.clear();
            driver.closeLink(1);
            driver.advance(50_000);
            if (!driver.effectsOf(EntryEffect.OpenLink.class).isEmpty()) {
                opened.add(driver.nowMicros());
            }
        }

        assertThat(opened).hasSizeBetween(10, 25);
        assertThat(opened.get(1) - opened.get(0)).isLessThan(500_000);
        assertThat(opened.get(opened.size() - 1) - opened.get(opened.size() - 2))
                .isBetween(1_000_000L, 2_050_000L);
    }

    /** Removing a companion from a document must not abort the attempts that run there. */
    @Test
    void theLinkToARemovedCompanionStaysOpenUntilItsAttemptsEnd() {
        EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1)));
        driver.prompt("sheet");
        Frame.Dispatch dispatch = driver.lastDispatch();
        driver.publish(TestDocuments.prompts(target(2)), 1);
        driver.advance(100_000);
        assertThat(driver.effectsOf(EntryEffect.CloseLink.class)).isEmpty();

        driver.head(dispatch);
        driver.end(dispatch, 0);
        driver.advance(100_000);

        assertThat(driver.effectsOf(EntryEffect.EndAnswer.class)).hasSize(1);
        assertThat(driver.effectsOf(EntryEffect.CloseLink.class))
                .containsExactly(new EntryEffect.CloseLink(target(1).companion()));
    }

    /** A shutdown aborts a request in flight, or one that the load balancer sent just after the shutdown began. */
    @Test
    void aDrainingEntryServesLateRequestsAndExitsWhenNoneIsInFlight() {
        EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1)));
        driver.handle(new EntryEvent.DrainRequested(30_000));
        assertThat(driver.isReady()).isFalse();
        assertThat(driver.frames(Frame.Leaving.class)).hasSize(1);
        driver.prompt("sheet");
        driver.heartbeat(1, 100, true);
        driver.advance(EntryMachine.DRAIN_GRACE_MICROS - 1);
        driver.heartbeat(1, 100, true);
        driver.advance(1);
        assertThat(driver.effectsOf(EntryEffect.Drained.class)).isEmpty();
        assertThat(driver.refusal(driver.prompt("late"))).isEqualTo(ErrorKind.DRAINING);

        driver.head(driver.lastDispatch());
        driver.end(driver.lastDispatch(), 0);

        assertThat(driver.effectsOf(EntryEffect.Drained.class)).hasSize(1);
    }

    @Test
    void theLinkOfAnUnknownCompanionIsClosed() {
        EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1)));
        driver.handle(new EntryEvent.LinkOpened(
                TestDocuments.companion(9), new Frame.Hello(new InstanceName("stranger"), 3, "depo-juh", "0.1")));

        assertThat(driver.effectsOf(EntryEffect.CloseLink.class)).hasSize(1);
    }
}
