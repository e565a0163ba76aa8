package org.rattanrudder.daemon.companion;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.companion.CompanionEffect;
import org.rattanrudder.core.companion.CompanionEvent;
import org.rattanrudder.core.companion.CompanionEvent.OrderOutcome;
import org.rattanrudder.core.model.TargetName;
import org.rattanrudder.daemon.TestServer;
import org.rattanrudder.wire.http.HttpCaller;

/** Answers that were cut before the first byte of their body. */
class EmptyAnswersTest {
    private static final int SECONDS = 10;
    private static final TargetName TARGET = new TargetName("palivo-1");

    private final BlockingQueue<CompanionEvent> events = new LinkedBlockingQueue<>();
    private final HttpCaller caller = HttpCaller.create(1);
    private final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1);
    private TestServer target;

    @BeforeEach
    void start() throws Exception {
        target = new TestServer(exchange -> exchange.getResponseSender().send(""));
    }

    @AfterEach
    void close() throws Exception {
        caller.close();
        timer.shutdownNow();
        target.close();
    }

    /** Guards against an order that is given again, as the answer on the last one has no content. */
    @Test
    void theLastOrderIsUnknownAndNotRefused() throws Exception {
        new Orders(caller, events::add).askLast(new CompanionEffect.QueryLastOrder(TARGET, target.address()));

        assertThat(events.poll(SECONDS, TimeUnit.SECONDS))
                .isEqualTo(new CompanionEvent.OrderAnswered(TARGET, 0, OrderOutcome.LOST));
    }

    /** Guards against an engine that seems idle and without weights, as its load has no content. */
    @Test
    void theLoadIsMissedAndNotZero() throws Exception {
        TargetWatch watch = new TargetWatch(
                caller, timer, new CompanionEffect.WatchTarget(TARGET, target.address(), false), events::add);
        watch.start();

        assertThat(events.poll(SECONDS, TimeUnit.SECONDS)).isEqualTo(new CompanionEvent.LoadReportMissed(TARGET));
        watch.stop();
    }
}
