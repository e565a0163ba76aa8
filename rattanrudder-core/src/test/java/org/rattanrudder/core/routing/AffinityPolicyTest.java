package org.rattanrudder.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.rattanrudder.core.model.TargetName;

class AffinityPolicyTest {
    private final AffinityPolicy policy = new AffinityPolicy("domain-1", new SplittableRandom(3));

    private static RoutingQuery query(Affinity affinity, long key, Set<TargetName> tried) {
        return new RoutingQuery(affinity, key, 4_000, Pools.COSTS, tried);
    }

    /** States: 0 silent, 1 stale, 2 refuses work, 3 tried already, 4 eligible. */
    @Property(seed = "31", tries = 300)
    void onlyEligibleTargetsAreNamedAndOneIsFoundWhereverThereIsOne(
            @ForAll @Size(min = 1, max = 12) List<@IntRange(max = 4) Integer> states,
            @ForAll Affinity affinity,
            @ForAll long key) {
        TargetPool pool = new TargetPool(Pools.settings(states.size()));
        Set<TargetName> tried = new HashSet<>();
        for (int number = 0; number < states.size(); number++) {
            RoutableTarget target = pool.targets().get(number);
            int state = states.get(number);
            if (state > 0) {
                long age = state == 1 ? RoutableTarget.FRESH_MICROS : 0;
                Pools.report(target, state != 2, number % Pools.SLOTS, 0, Pools.NOW - age);
            }
            if (state == 3) {
                tried.add(target.name());
            }
        }

        for (int turn = 0; turn < 3; turn++) {
            RoutingQuery query = query(affinity, key, tried);
            Optional<Route> route = policy.choose(query, pool, Pools.NOW);
            assertThat(route.isPresent()).isEqualTo(states.contains(4));
            route.ifPresent(found -> {
                assertThat(states.get(pool.targets().indexOf(found.target()))).isEqualTo(4);
                policy.onDispatched(query, found, pool, Pools.NOW);
            });
        }
    }

    /** Differential: with equal targets and nothing waiting, a context goes where plain prefix affinity sends it. */
    @Property(seed = "32", tries = 200)
    void amongEqualTargetsAContextGoesWhereTheNaivePolicySendsIt(
            @ForAll @IntRange(min = 1, max = 40) int targets, @ForAll long key) {
        TargetPool pool = Pools.idle(targets);
        RoutingQuery query = query(Affinity.CONTEXT, key, Set.of());

        assertThat(policy.choose(query, pool, Pools.NOW).map(Route::target))
                .isEqualTo(BaselinePolicies.prefixAffinity()
                        .choose(query, pool, Pools.NOW)
                        .map(Route::target));
    }

    @ParameterizedTest
    @EnumSource(
            value = Affinity.class,
            names = {"CONTEXT", "KEY"})
    void entriesThatKnowNothingOfEachOtherFindTheSameHome(Affinity affinity) {
        AffinityPolicy other = new AffinityPolicy("domain-0", new SplittableRandom(99));
        for (long key = 1; key < 50; key++) {
            RoutingQuery query = query(affinity, Hashing.mix(key), Set.of());
            assertThat(policy.choose(query, Pools.idle(9), Pools.NOW)
                            .get()
                            .target()
                            .name())
                    .isEqualTo(other.choose(query, Pools.idle(9), Pools.NOW)
                            .get()
                            .target()
                            .name());
        }
    }

    @Test
    void aTargetOfTheOwnFailureDomainIsPreferredWhereAllElseIsEqual() {
        TargetPool pool = Pools.idle(2);
        for (int turn = 0; turn < 20; turn++) {
            assertThat(policy.choose(RoutingQuery.withoutAffinity(Set.of()), pool, Pools.NOW)
                            .get()
                            .target()
                            .failureDomain())
                    .isIn("domain-0", "domain-1");
        }
        long own = policyShare(pool, "domain-1");
        assertThat(own).isGreaterThan(75);
    }

    private long policyShare(TargetPool pool, String domain) {
        long own = 0;
        for (int turn = 0; turn < 100; turn++) {
            RoutableTarget target = policy.choose(RoutingQuery.withoutAffinity(Set.of()), pool, Pools.NOW)
                    .get()
                    .target();
            own += target.failureDomain().equals(domain) ? 1 : 0;
        }
        return own;
    }

    @Test
    void aTargetThatTheListCallsLeavingIsTakenOnlyForWantOfAnother() {
        TargetPool pool = Pools.idle(2);
        RoutingQuery query = query(Affinity.CONTEXT, 7, Set.of());
        RoutableTarget home = policy.choose(query, pool, Pools.NOW).get().target();
        home.listed(true);
        RoutableTarget other = policy.choose(query, pool, Pools.NOW).get().target();
        other.markUnavailable();

        assertThat(other).isNotSameAs(home);
        assertThat(policy.choose(query, pool, Pools.NOW).get().target()).isSameAs(home);
    }

    @Test
    void aHomeWhoseQueueCostsMoreThanItsContextIsPassedOver() {
        TargetPool pool = Pools.idle(4);
        RoutingQuery query = query(Affinity.CONTEXT, 7, Set.of());
        RoutableTarget home = policy.choose(query, pool, Pools.NOW).get().target();
        Pools.report(home, true, Pools.SLOTS, 1_900_000, Pools.NOW);
        assertThat(policy.choose(query, pool, Pools.NOW).get().target()).isSameAs(home);

        Pools.report(home, true, Pools.SLOTS, 2_200_000, Pools.NOW);

        assertThat(policy.choose(query, pool, Pools.NOW).get().target()).isNotSameAs(home);
    }

    /**
     * Checks wait at one full target while the others idle: one breaking story holds all demand. Its context gets
     * further holders while the first still has free slots, and gives them up when the story is over.
     */
    @Test
    void aHotContextGetsHoldersBeforeTheFirstIsFullAndLosesThemAfterwards() {
        TargetPool pool = Pools.idle(6);
        RoutingQuery query = query(Affinity.CONTEXT, 7, Set.of());
        Set<RoutableTarget> holders = new HashSet<>();
        long now = Pools.NOW;
        for (int turn = 0; turn < 3_000; turn++) {
            now += 10_000;
            Route route = send(query, pool, now);
            holders.add(route.target());
            for (RoutableTarget target : pool.targets()) {
                Pools.report(target, true, holders.contains(target) ? 8 : 0, 0, now);
            }
        }
        assertThat(policy.replicas(7, pool)).isEqualTo(6);
        assertThat(holders).hasSize(6);

        for (int turn = 0; turn < 60; turn++) {
            now += 1_000_000;
            long reported = now;
            pool.targets().forEach(target -> Pools.report(target, true, 0, 0, reported));
            send(query, pool, now);
        }
        assertThat(policy.replicas(7, pool)).isEqualTo(1);
    }

    /**
     * All answers take a minute and none recovers: every target is full, each context is copied to more of them, and
     * each copy displaces another that must then be computed anew.
     */
    @Test
    void whereAllTargetsAreFullNoContextIsCopiedFurther() {
        TargetPool pool = Pools.idle(6);
        long now = Pools.NOW;
        for (int turn = 0; turn < 400; turn++) {
            now += 10_000;
            long reported = now;
            pool.targets().forEach(target -> Pools.report(target, true, Pools.SLOTS, 5_000_000, reported));
            send(query(Affinity.CONTEXT, 7, Set.of()), pool, now);
        }
        assertThat(policy.replicas(7, pool)).isEqualTo(1);
    }

    private Route send(RoutingQuery query, TargetPool pool, long now) {
        Route route = policy.choose(query, pool, now).orElseThrow();
        policy.onDispatched(query, route, pool, now);
        return route;
    }

    @Test
    void thousandsOfContextsLeaveNoMoreStateThanTheTableHolds() {
        HotContexts contexts = new HotContexts(new SplittableRandom(1));
        TargetPool pool = Pools.idle(4);
        for (int turn = 0; turn < 20_000; turn++) {
            contexts.count(Hashing.mix(turn), pool, Pools.NOW + turn * 100L);
            contexts.count(1, pool, Pools.NOW + turn * 100L);
        }
        assertThat(contexts.size()).isEqualTo(HotContexts.CAPACITY);
        assertThat(contexts.find(1, pool)).isPresent();
    }
}
