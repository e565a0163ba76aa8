package org.rattanrudder.core.companion;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.companion.CompanionEvent.OrderOutcome;
import org.rattanrudder.core.log.AppendResult;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.log.LogStream;
import org.rattanrudder.core.orders.OrderSettings;

class EngineOrdersTest {
    private final CompanionDriver driver = CompanionDriver.ready();
    private long end;

    @Test
    void ordersAnEngineThatReportsAnotherVersionThanItsDocument() {
        driver.reportVersion("v0");
        exchangeWithLog(4);
        assertThat(driver.effectsOf(CompanionEffect.QueryLastOrder.class)).isNotEmpty();
        assertThat(driver.effectsOf(CompanionEffect.SendOrder.class)).isEmpty();
        driver.handle(new CompanionEvent.OrderAnswered(CompanionDriver.ENGINE, 0, OrderOutcome.REFUSED));
        assertThat(driver.effectsOf(CompanionEffect.SendOrder.class))
                .singleElement()
                .satisfies(order -> {
                    assertThat(order.version()).isEqualTo("v1");
                    assertThat(order.fencing()).isBetween(1L, end);
                });
    }

    /** Guards against an order by a lease that others have taken over in a suspension that isn't certain. */
    @Test
    void sendsNoOrderByALeaseThatMayHaveEndedWhileItsMachineWasSuspended() {
        driver.reportVersion("v0");
        exchangeWithLog(4);
        driver.suspendOrJump(OrderSettings.DEFAULT.leaseTermMicros() / 1_000);
        driver.handle(new CompanionEvent.OrderAnswered(CompanionDriver.ENGINE, 0, OrderOutcome.REFUSED));
        assertThat(driver.effectsOf(CompanionEffect.SendOrder.class)).isEmpty();
    }

    @Test
    void appendsNothingForAnEngineAtTheDesiredVersion() {
        driver.reportVersion("v1");
        exchangeWithLog(4);
        assertThat(end).isZero();
    }

    /** Lets the log accept all appends and answer each read. */
    private void exchangeWithLog(int rounds) {
        for (int round = 0; round < rounds; round++) {
            driver.advance(100, 1);
            List<CompanionEffect.Append> appends = driver.effectsOf(CompanionEffect.Append.class).stream()
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
