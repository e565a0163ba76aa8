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

    private final OrderSimulation world = new OrderSimulation(1);

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void engineIsOrderedToItsDesiredStateOnce(boolean checksFencing) {
        OrderSimulation.Engine engine = world.engine(checksFencing, SECOND);
        OrderSimulation.Companion companion = world.companion(engine);
        world.setDesired("v1");
        world.advance(10 * SECOND);
        assertThat(engine.version).isEqualTo("v1");
        assertThat(engine.effectiveOrders).hasSize(1);
        assertThat(companion.orders.isSettled()).isTrue();
    }

    @Test
    void logsEachStepOfAnOrder() {
        OrderSimulation.Companion companion = world.companion(world.engine(true, SECOND));
        world.setDesired("v1");
        world.advance(10 * SECOND);

        assertThat(companion.loggedEvents).containsExactly("order_lease_asked", "order_given", "order_done");
    }

    @Test
    void successorLogsTheReleaseOfItsPredecessorsClaim() {
        OrderSimulation.Companion first = world.companion(world.engine(true, SECOND));
        world.setDesired("v1");
        while (world.maxConcurrentLoads == 0) {
            world.advance(OrderSimulation.TICK_MICROS);
        }
        first.frozen = true;
        OrderSimulation.Companion successor = world.companion(world.engines.get(0));
        successor.setDesired(OrderSimulation.state("v2"));
        world.advance(30 * SECOND);

        assertThat(successor.loggedEvents)
                .containsExactly(
                        "order_lease_asked", "order_claim_of_predecessor_released", "order_given", "order_done");
    }

    @ParameterizedTest
    @CsvSource({"1, 1", "2, 2", "9, 2"})
    void atMostTwoEnginesOfAServiceLoadConcurrently(int engines, int maxLoads) {
        // If all engines of a service read their weights at the same time after a new version is published, the store
        // slows down and all of them stall for minutes.
        for (int count = 0; count < engines; count++) {
            world.companion(world.engine(true, 2 * SECOND));
        }
        world.setDesired("v1");
        world.advance(60 * SECOND);
        assertThat(world.maxConcurrentLoads).isEqualTo(maxLoads);
        assertThat(world.countVersions()).isEqualTo(Map.of("v1", engines));
    }

    @Test
    void frozenHolderSendsNoOrderAfterItResumes() {
        // A companion is frozen while it holds a lease, and its successor orders a new version. If the first one sent
        // its order after it resumes, the target would return to the previous version.
        OrderSimulation.Engine engine = world.engine(false, SECOND);
        OrderSimulation.Companion first = world.companion(engine);
        world.setDesired("v1");
        world.advance(3 * OrderSimulation.TICK_MICROS);
        first.frozen = true;
        world.advance(8 * SECOND);
        OrderSimulation.Companion second = world.companion(engine);
        second.setDesired(OrderSimulation.state("v2"));
        world.advance(10 * SECOND);
        assertThat(engine.version).isEqualTo("v2");
        int orders = engine.effectiveOrders.size();
        first.frozen = false;
        world.advance(OrderSimulation.TICK_MICROS);
        assertThat(engine.effectiveOrders)
                .as("orders after the frozen holder resumed")
                .hasSize(orders);
    }

    @Test
    void holderAcquiresANewLeaseAfterAPause() {
        // The clock of a suspended machine may not count the pause. So the earlier lease isn't used any more, though
        // its term hasn't ended by this clock.
        OrderSimulation.Engine engine = world.engine(true, SECOND);
        OrderSimulation.Companion companion = world.companion(engine);
        world.setDesired("v1");
        while (world.countLeases() == 0) {
            world.advance(OrderSimulation.TICK_MICROS);
        }
        companion.frozen = true;
        world.advance(OrderSimulation.SETTINGS.pauseThresholdMicros() + OrderSimulation.TICK_MICROS);
        companion.frozen = false;
        world.advance(4 * SECOND);
        assertThat(world.countLeases()).isEqualTo(2);
        assertThat(engine.version).isEqualTo("v1");
    }

    @Test
    void successorFinishesItsPredecessorsLoadAndReleasesItsClaim() {
        // Two companions die while their engines load. Until their claims are released, they would keep the service's
        // third engine from loading its new version.
        for (int count = 0; count < 3; count++) {
            world.companion(world.engine(true, SECOND));
        }
        world.setDesired("v1");
        while (world.maxConcurrentLoads < 2) {
            world.advance(OrderSimulation.TICK_MICROS);
        }
        world.companions.subList(0, 2).forEach(each -> each.frozen = true);
        world.companion(world.engines.get(0));
        world.companion(world.engines.get(1));
        world.setDesired("v1");
        world.advance(OrderSimulation.SETTINGS.loadTermMicros() / 2);
        assertThat(world.countVersions()).isEqualTo(Map.of("v1", 3));
        assertThat(world.maxConcurrentLoads).isEqualTo(2);
    }

    @Test
    void claimOfADeadCompanionExpires() {
        for (int count = 0; count < 3; count++) {
            world.companion(world.engine(true, 100 * SECOND));
        }
        world.setDesired("v1");
        world.advance(2 * SECOND);
        assertThat(world.maxConcurrentLoads).isEqualTo(2);
        world.companions.subList(0, 2).forEach(each -> each.frozen = true);
        world.advance(OrderSettings.observedTermMicros(OrderSimulation.SETTINGS.loadTermMicros()) - 3 * SECOND);
        assertThat(world.engines.get(2).loading).isNull();
        world.advance(4 * SECOND);
        assertThat(world.engines.get(2).loading).isNotNull();
    }

    @Test
    void sendsNoOrderUntilTheLogIsBack() {
        // During an outage of the log it is unknown whether another companion holds the lease or how many engines load.
        OrderSimulation.Engine engine = world.engine(false, SECOND);
        world.companion(engine);
        world.advance(SECOND);
        world.logDown = true;
        world.setDesired("v1");
        world.advance(3_600 * SECOND);
        assertThat(engine.effectiveOrders).isEmpty();
        world.logDown = false;
        world.advance(10 * SECOND);
        assertThat(engine.version).isEqualTo("v1");
    }

    @Test
    void companionsOfOneEngineStopOverridingEachOther() {
        // Two documents list one engine by mistake. If each companion kept ordering its own version, the engine would
        // load one after the other; the fencing number of the last order shows that it was sent by another companion.
        OrderSimulation.Engine engine = world.engine(false, SECOND);
        OrderSimulation.Companion one = world.companion(engine);
        OrderSimulation.Companion other = world.companion(engine, "other-name");
        one.setDesired(OrderSimulation.state("v1"));
        other.setDesired(OrderSimulation.state("v2"));
        world.advance(600 * SECOND);
        assertThat(Stream.of(one, other).flatMap(each -> each.loggedEvents.stream()))
                .contains("foreign_order");
        assertThat(engine.effectiveOrders.size()).isLessThan(60);
    }
}
