package org.rattanrudder.core.companion;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.companion.CompanionEvent.OrderOutcome;
import org.rattanrudder.core.log.AppendResult;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.log.LogStream;

class EngineOrdersTest {
    private final CompanionDriver driver = CompanionDriver.ready();
    private long end;

    @Test
    void anEngineAtAnotherVersionThanItsDocumentIsOrderedThroughTheLog() {
        driver.reportVersion("v0");
        logTurns(4);
        assertThat(driver.all(CompanionEffect.QueryLastOrder.class)).isNotEmpty();
        assertThat(driver.all(CompanionEffect.SendOrder.class)).isEmpty();
        driver.handle(new CompanionEvent.OrderAnswered(CompanionDriver.ENGINE, 0, OrderOutcome.REFUSED));
        assertThat(driver.all(CompanionEffect.SendOrder.class)).singleElement().satisfies(order -> {
            assertThat(order.version()).isEqualTo("v1");
            assertThat(order.fencing()).isBetween(1L, end);
        });
    }

    @Test
    void anEngineAtTheVersionOfItsDocumentNeedsNoRecordInTheLog() {
        driver.reportVersion("v1");
        logTurns(4);
        assertThat(end).isZero();
    }

    /** The log takes what is appended and answers each read. */
    private void logTurns(int turns) {
        for (int turn = 0; turn < turns; turn++) {
            driver.pass(100, 1);
            List<CompanionEffect.Append> appends = driver.all(CompanionEffect.Append.class).stream()
                    .filter(append -> append.stream() == LogStream.ORDERS)
                    .toList();
            driver.effects.removeAll(appends);
            for (CompanionEffect.Append append : appends) {
                end++;
                driver.handle(new CompanionEvent.AppendSettled(
                        LogStream.ORDERS, append.batch().sequence(), new AppendResult.Appended(end)));
                LogRecord record = new LogRecord(end, append.batch());
                driver.handle(new CompanionEvent.LogRead(LogStream.ORDERS, List.of(record), true));
            }
            driver.handle(new CompanionEvent.LogRead(LogStream.ORDERS, List.of(), true));
        }
    }
}
