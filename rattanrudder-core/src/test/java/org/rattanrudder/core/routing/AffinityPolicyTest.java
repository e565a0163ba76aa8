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
        return new RoutingQuery(affinity, key, 4_000, TestPools.COSTS, tried);
    }

    /** States: 0 no report, 1 stale report, 2 accepts no work, 3 already tried, 4 eligible. */
    @Property(seed = "31", tries = 300)
    void choosesAnEligibleTargetIfThereIsOne(
            @ForAll @Size(min = 1, max = 12) List<@IntRange(max = 4) Integer> states,
            @ForAll Affinity affinity,
            @ForAll long key) {
        TargetPool pool = new TargetPool(TestPools.settings(states.size()));
        Set<TargetName> tried = new HashSet<>();
        for (int number = 0; number < states.size(); number++) {
            RoutableTarget target = pool.targets().get(number);
            int state = states.get(number);
            if (state > 0) {
                long age = state == 1 ? RoutableTarget.MAX_REPORT_AGE_MICROS : 0;
                TestPools.report(target, state != 2, number % TestPools.SLOTS, 0, TestPools.NOW - age);
            }
            if (state == 3) {
                tried.add(target.name());
            }
        }

        for (int turn = 0; turn < 3; turn++) {
            RoutingQuery query = query(affinity, key, tried);
            Optional<Route> route = policy.choose(query, pool, TestPools.NOW);
            assertThat(route.isPresent()).isEqualTo(states.contains(4));
            route.ifPresent(found -> {
                assertThat(states.get(pool.targets().indexOf(found.target()))).isEqualTo(4);
                policy.onDispatched(query, found, pool, TestPools.NOW);
            });
        }
    }

    /** Differential test: among equal targets without queues, the policy agrees with plain prefix affinity. */
    @Property(seed = "32", tries = 200)
    void amongIdleTargetsAContextGoesToItsRendezvousHome(
            @ForAll @IntRange(min = 1, max = 40) int targets, @ForAll long key) {
        TargetPool pool = TestPools.idle(targets);
        RoutingQuery query = query(Affinity.CONTEXT, key, Set.of());

        assertThat(policy.choose(query, pool, TestPools.NOW).map(Route::target))
                .isEqualTo(BaselinePolicies.prefixAffinity()
                        .choose(query, pool, TestPools.NOW)
                        .map(Route::target));
    }

    @ParameterizedTest
    @EnumSource(
            value = Affinity.class,
            names = {"CONTEXT", "KEY"})
    void independentEntriesFindTheSameHome(Affinity affinity) {
        AffinityPolicy other = new AffinityPolicy("domain-0", new SplittableRandom(99));
        for (long key = 1; key < 50; key++) {
            RoutingQuery query = query(affinity, Hashing.mix(key), Set.of());
            assertThat(policy.choose(query, TestPools.idle(9), TestPools.NOW)
                            .get()
                            .target()
                            .name())
                    .isEqualTo(other.choose(query, TestPools.idle(9), TestPools.NOW)
                            .get()
                            .target()
                            .name());
        }
    }

    @Test
    void prefersTheOwnFailureDomainAmongEqualTargets() {
        TargetPool pool = TestPools.idle(2);
        for (int round = 0; round < 20; round++) {
            assertThat(policy.choose(RoutingQuery.withoutAffinity(Set.of()), pool, TestPools.NOW)
                            .get()
                            .target()
                            .failureDomain())
                    .isIn("domain-0", "domain-1");
        }
        long own = countChoicesInDomain(pool, "domain-1");
        assertThat(own).isGreaterThan(75);
    }

    private long countChoicesInDomain(TargetPool pool, String domain) {
        long count = 0;
        for (int turn = 0; turn < 100; turn++) {
            RoutableTarget target = policy.choose(RoutingQuery.withoutAffinity(Set.of()), pool, TestPools.NOW)
                    .get()
                    .target();
            count += target.failureDomain().equals(domain) ? 1 : 0;
        }
        return count;
    }

    @Test
    void aTargetListedAsLeavingIsChosenOnlyIfThereIsNoOther() {
        TargetPool pool = TestPools.idle(2);
        RoutingQuery query = query(Affinity.CONTEXT, 7, Set.of());
        RoutableTarget home = policy.choose(query, pool, TestPools.NOW).get().target();
        home.setListedLeaving(true);
        RoutableTarget other = policy.choose(query, pool, TestPools.NOW).get().target();
        other.markUnavailable();

        assertThat(other).isNotSameAs(home);
        assertThat(policy.choose(query, pool, TestPools.NOW).get().target()).isSameAs(home);
    }

    @Test
    void skipsAHomeWhoseQueueTakesLongerThanRecomputing() {
        TargetPool pool = TestPools.idle(4);
        RoutingQuery query = query(Affinity.CONTEXT, 7, Set.of());
        RoutableTarget home = policy.choose(query, pool, TestPools.NOW).get().target();
        TestPools.report(home, true, TestPools.SLOTS, 1_900_000, TestPools.NOW);
        assertThat(policy.choose(query, pool, TestPools.NOW).get().target()).isSameAs(home);

        TestPools.report(home, true, TestPools.SLOTS, 2_200_000, TestPools.NOW);

        assertThat(policy.choose(query, pool, TestPools.NOW).get().target()).isNotSameAs(home);
    }

    /**
     * Requests queue at one full target while the others are idle, because all of them share one context. The context
     * must get further holders while the first one still has free slots, and lose them when the demand ends.
     */
    @Test
    void aHotContextIsReplicatedBeforeItsHolderIsFullAndShrinksAfterwards() {
        TargetPool pool = TestPools.idle(6);
        RoutingQuery query = query(Affinity.CONTEXT, 7, Set.of());
        Set<RoutableTarget> holders = new HashSet<>();
        long now = TestPools.NOW;
        for (int turn = 0; turn < 3_000; turn++) {
            now += 10_000;
            Route route = send(query, pool, now);
            holders.add(route.target());
            for (RoutableTarget target : pool.targets()) {
                TestPools.report(target, true, holders.contains(target) ? 8 : 0, 0, now);
            }
        }
        assertThat(policy.replicas(7, pool)).isEqualTo(6);
        assertThat(holders).hasSize(6);

        for (int turn = 0; turn < 60; turn++) {
            now += 1_000_000;
            long reported = now;
            pool.targets().forEach(target -> TestPools.report(target, true, 0, 0, reported));
            send(query, pool, now);
        }
        assertThat(policy.replicas(7, pool)).isEqualTo(1);
    }

    /**
     * With every target full, contexts are replicated further; each replica evicts a context that must be recomputed,
     * all answers take a minute and the service doesn't recover.
     */
    @Test
    void noContextIsReplicatedWhenAllTargetsAreFull() {
        TargetPool pool = TestPools.idle(6);
        long now = TestPools.NOW;
        for (int turn = 0; turn < 400; turn++) {
            now += 10_000;
            long reported = now;
            pool.targets().forEach(target -> TestPools.report(target, true, TestPools.SLOTS, 5_000_000, reported));
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
    void theHotContextTableIsBounded() {
        HotContexts contexts = new HotContexts(new SplittableRandom(1));
        TargetPool pool = TestPools.idle(4);
        for (int turn = 0; turn < 20_000; turn++) {
            contexts.recordRequest(Hashing.mix(turn), pool, TestPools.NOW + turn * 100L);
            contexts.recordRequest(1, pool, TestPools.NOW + turn * 100L);
        }
        assertThat(contexts.size()).isEqualTo(HotContexts.MAX_CONTEXTS);
        assertThat(contexts.find(1, pool)).isPresent();
    }
}
