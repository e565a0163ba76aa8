package org.rattanrudder.core.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    @Property(seed = "61", tries = 200)
    void retriesNeverExceedTheInitialAndTheEarnedOnes(@ForAll List<Boolean> wantsRetry) {
        RetryBudget budget = new RetryBudget();
        int firsts = 0;
        int retries = 0;
        for (int turn = 0; turn < 20; turn++) {
            for (boolean retry : wantsRetry) {
                budget.recordFirstAttempt(0.1);
                firsts++;
                retries += retry && budget.tryRetry() ? 1 : 0;
            }
        }
        assertThat((double) retries).isLessThanOrEqualTo(RetryBudget.INITIAL_RETRIES + 0.1 * firsts);
    }

    /** A long time without retries must not allow a retry storm afterwards. */
    @Test
    void savedUpRetriesAreLimited() {
        RetryBudget budget = new RetryBudget();
        for (int first = 0; first < 1_000_000; first++) {
            budget.recordFirstAttempt(0.1);
        }
        int retries = 0;
        for (int turn = 0; turn < 2 * RetryBudget.MAX_SAVED_RETRIES; turn++) {
            retries += budget.tryRetry() ? 1 : 0;
        }
        assertThat(retries).isEqualTo((int) RetryBudget.MAX_SAVED_RETRIES);
    }
}
