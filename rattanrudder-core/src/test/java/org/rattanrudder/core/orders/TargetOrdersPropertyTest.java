package org.rattanrudder.core.orders;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Random histories: companions freeze, resume and are replaced while engines load; appends and orders are lost,
 * duplicated and read late; the log becomes unavailable; documents change.
 */
class TargetOrdersPropertyTest {
    private static final long SECOND = 1_000_000;

    @Property(seed = "20262", tries = 150)
    void ordersTakeEffectInLogOrderAndAtMostTwoEnginesLoad(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 5) int engines) {
        check(run(new OrderSimulation(seed), engines), engines);
    }

    /** Guards against orders and loads by leases and claims that ended while the holder's clock stood still. */
    @Property(seed = "20264", tries = 150)
    void theSameHoldsWhereFrozenCompanionsAreSuspendedMachines(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 5) int engines) {
        OrderSimulation world = new OrderSimulation(seed);
        world.clocksStandStill = true;
        check(run(world, engines), engines);
    }

    private static void check(OrderSimulation world, int engines) {
        assertThat(world.maxConcurrentLoads)
                .as("concurrent loads")
                .isLessThanOrEqualTo(OrderLedger.MAX_CONCURRENT_LOADS);
        for (OrderSimulation.Engine engine : world.engines) {
            assertThat(engine.effectiveOrders)
                    .as("fencing numbers of the orders that took effect")
                    .isSorted();
        }
        assertThat(world.countVersions()).as("final versions").isEqualTo(Map.of("last", engines));
    }

    private static OrderSimulation run(OrderSimulation world, int engines) {
        for (int count = 0; count < engines; count++) {
            world.companion(world.engine(world.random.nextBoolean(), (1 + world.random.nextInt(4)) * SECOND));
        }
        int version = 0;
        for (int step = 0; step < 40; step++) {
            disturb(world);
            if (world.random.nextInt(5) == 0) {
                version++;
                world.setDesired("v" + version);
            }
            world.advance(world.random.nextInt(40) * OrderSimulation.TICK_MICROS);
        }
        stabilize(world);
        world.setDesired("last");
        world.advance(120 * SECOND);
        return world;
    }

    private static void disturb(OrderSimulation world) {
        OrderSimulation.Companion any = world.companions.get(world.random.nextInt(world.companions.size()));
        switch (world.random.nextInt(8)) {
            case 0 -> any.frozen = true;
            case 1, 2 -> any.frozen = false;
            case 3 -> any.lossRatio = 0.3;
            case 4 -> any.lossRatio = 0;
            case 5 -> world.logDown = !world.logDown;
            case 6 -> world.replace(any);
            default -> {}
        }
    }

    private static void stabilize(OrderSimulation world) {
        world.logDown = false;
        world.companions.forEach(each -> {
            each.frozen = false;
            each.lossRatio = 0;
        });
    }
}
