package org.rattanrudder.core.orders;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class TargetOrdersTest {
    private static final long SECOND = 1_000_000;

    private final OrderWorld world = new OrderWorld(1);

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anEngineIsOrderedToTheStateOfItsDocumentOnce(boolean checksFencing) {
        OrderWorld.Engine engine = world.engine(checksFencing, SECOND);
        OrderWorld.Companion companion = world.companion(engine);
        world.desire("v1");
        world.pass(10 * SECOND);
        assertThat(engine.version).isEqualTo("v1");
        assertThat(engine.effective).hasSize(1);
        assertThat(companion.orders.isSettled()).isTrue();
    }

    @Test
    void eachStepOfAnOrderIsTold() {
        OrderWorld.Companion companion = world.companion(world.engine(true, SECOND));
        world.desire("v1");
        world.pass(10 * SECOND);

        assertThat(companion.notes).containsExactly("order_lease_asked", "order_given", "order_done");
    }

    @Test
    void aSuccessorTellsThatItReleasedTheClaimOfItsPredecessor() {
        OrderWorld.Companion first = world.companion(world.engine(true, SECOND));
        world.desire("v1");
        while (world.mostLoads == 0) {
            world.pass(OrderWorld.TICK);
        }
        first.frozen = true;
        OrderWorld.Companion successor = world.companion(world.engines.get(0));
        successor.want(OrderWorld.state("v2"));
        world.pass(30 * SECOND);

        assertThat(successor.notes)
                .containsExactly(
                        "order_lease_asked", "order_claim_of_predecessor_released", "order_given", "order_done");
    }

    @ParameterizedTest
    @CsvSource({"1, 1", "2, 2", "9, 2"})
    void noMoreThanTwoEnginesOfAServiceLoadAtOnce(int engines, int most) {
        // All servers of a service stall for minutes after a new version is published. Each began to read its weights
        // at the same time, and the store slows down when more than two do.
        for (int count = 0; count < engines; count++) {
            world.companion(world.engine(true, 2 * SECOND));
        }
        world.desire("v1");
        world.pass(60 * SECOND);
        assertThat(world.mostLoads).isEqualTo(most);
        assertThat(world.versions()).isEqualTo(Map.of("v1", engines));
    }

    @Test
    void aHolderThatWasFrozenGivesNoOrderAfterItThaws() {
        // A target goes back to the version before the last. Its companion was frozen with a lease in hand, another one
        // took the slot and ordered the new version, and the first went on where it stood.
        OrderWorld.Engine engine = world.engine(false, SECOND);
        OrderWorld.Companion first = world.companion(engine);
        world.desire("v1");
        world.pass(3 * OrderWorld.TICK);
        first.frozen = true;
        world.pass(8 * SECOND);
        OrderWorld.Companion second = world.companion(engine);
        second.want(OrderWorld.state("v2"));
        world.pass(10 * SECOND);
        assertThat(engine.version).isEqualTo("v2");
        int orders = engine.effective.size();
        first.frozen = false;
        world.pass(OrderWorld.TICK);
        assertThat(engine.effective).as("orders of the frozen holder").hasSize(orders);
    }

    @Test
    void aHolderTakesANewLeaseAfterAPause() {
        // After a pause nobody can say how long it really was: a machine that was suspended may not count it. The lease
        // that was held before isn't used any more, though its term hasn't passed by this clock.
        OrderWorld.Engine engine = world.engine(true, SECOND);
        OrderWorld.Companion companion = world.companion(engine);
        world.desire("v1");
        while (world.leases() == 0) {
            world.pass(OrderWorld.TICK);
        }
        companion.frozen = true;
        world.pass(OrderWorld.TERMS.pauseMicros() + OrderWorld.TICK);
        companion.frozen = false;
        world.pass(4 * SECOND);
        assertThat(world.leases()).isEqualTo(2);
        assertThat(engine.version).isEqualTo("v1");
    }

    @Test
    void aReplacedCompanionEndsTheLoadOfItsPredecessorAndFreesItsClaim() {
        // A service's third server never gets its new version. Two companions died while their engines loaded, and
        // their claims held both places until they lapsed.
        for (int count = 0; count < 3; count++) {
            world.companion(world.engine(true, SECOND));
        }
        world.desire("v1");
        while (world.mostLoads < 2) {
            world.pass(OrderWorld.TICK);
        }
        world.companions.subList(0, 2).forEach(each -> each.frozen = true);
        world.companion(world.engines.get(0));
        world.companion(world.engines.get(1));
        world.desire("v1");
        world.pass(OrderWorld.TERMS.loadMicros() / 2);
        assertThat(world.versions()).isEqualTo(Map.of("v1", 3));
        assertThat(world.mostLoads).isEqualTo(2);
    }

    @Test
    void theClaimOfACompanionThatIsGoneForGoodLapses() {
        for (int count = 0; count < 3; count++) {
            world.companion(world.engine(true, 100 * SECOND));
        }
        world.desire("v1");
        world.pass(2 * SECOND);
        assertThat(world.mostLoads).isEqualTo(2);
        world.companions.subList(0, 2).forEach(each -> each.frozen = true);
        world.pass(OrderTerms.othersWait(OrderWorld.TERMS.loadMicros()) - 3 * SECOND);
        assertThat(world.engines.get(2).loading).isNull();
        world.pass(4 * SECOND);
        assertThat(world.engines.get(2).loading).isNotNull();
    }

    @Test
    void whileTheLogIsDownNoOrderIsGivenAndAfterwardsItIs() {
        // During an outage of the log nobody can tell whether another holds the lease or how many load.
        OrderWorld.Engine engine = world.engine(false, SECOND);
        world.companion(engine);
        world.pass(SECOND);
        world.logDown = true;
        world.desire("v1");
        world.pass(3_600 * SECOND);
        assertThat(engine.effective).isEmpty();
        world.logDown = false;
        world.pass(10 * SECOND);
        assertThat(engine.version).isEqualTo("v1");
    }

    @Test
    void twoCompanionsThatDocumentsNameForOneEngineStopUndoingEachOther() {
        // An engine that serves two documents by mistake loads one version after the other, all day. Each companion
        // sees the other's version and orders its own anew; the number of the last order shows that it is another's.
        OrderWorld.Engine engine = world.engine(false, SECOND);
        OrderWorld.Companion one = world.companion(engine);
        OrderWorld.Companion other = world.companion(engine, "other-name");
        one.want(OrderWorld.state("v1"));
        other.want(OrderWorld.state("v2"));
        world.pass(600 * SECOND);
        assertThat(Stream.of(one, other).flatMap(each -> each.notes.stream())).contains("foreign_order");
        assertThat(engine.effective.size()).isLessThan(60);
    }
}
