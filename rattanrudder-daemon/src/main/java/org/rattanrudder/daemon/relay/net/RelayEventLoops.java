package org.rattanrudder.daemon.relay.net;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.daemon.loop.ProcessClock;

/**
 * A relay's event loop, whose timers count suspensions of the machine that are certain: they are due when the machine
 * resumes, as after a pause of the process. Netty's own count by the monotonic clock, and would be late by as much.
 */
public final class RelayEventLoops extends MultiThreadIoEventLoopGroup {
    /** Creates one event loop, by a clock; its turns are recorded. */
    public RelayEventLoops(ProcessClock clock, LoopTurns turns) {
        super(1, (Executor) null, MeasuredIoHandler.factory(NioIoHandler.newFactory(), turns), clock, turns);
    }

    /** It is called by the constructor of the superclass, before this object has any field of its own. */
    @Override
    protected IoEventLoop newChild(Executor executor, IoHandlerFactory handlers, Object... arguments) {
        return new ClockedEventLoop(this, executor, handlers, (ProcessClock) arguments[0], (LoopTurns) arguments[1]);
    }

    private static final class ClockedEventLoop extends SingleThreadIoEventLoop {
        private final ClockTicker ticker;
        private final LoopTurns turns;

        ClockedEventLoop(
                IoEventLoopGroup parent,
                Executor executor,
                IoHandlerFactory handlers,
                ProcessClock clock,
                LoopTurns turns) {
            super(parent, executor, handlers);
            ticker = new ClockTicker(clock);
            this.turns = turns;
        }

        @Override
        protected boolean runAllTasks(long timeoutNanos) {
            long began = System.nanoTime();
            boolean ran = super.runAllTasks(timeoutNanos);
            long ended = System.nanoTime();
            turns.onTasksRun(ended - began, ended);
            return ran;
        }

        @Override
        public Ticker ticker() {
            return ticker == null ? Ticker.systemTicker() : ticker;
        }

        /** The handler of input and output waits by the monotonic clock. */
        @Override
        protected long delayNanos(long monotonicNanos) {
            return super.delayNanos(monotonicNanos + ticker.suspendedNanos());
        }
    }

    /** The time since the start of the process, with certain suspensions. */
    private record ClockTicker(ProcessClock clock) implements Ticker {
        long suspendedNanos() {
            return TimeUnit.MILLISECONDS.toNanos(clock.suspendedMillis());
        }

        @Override
        public long initialNanoTime() {
            return Ticker.systemTicker().initialNanoTime();
        }

        @Override
        public long nanoTime() {
            return Ticker.systemTicker().nanoTime() + suspendedNanos();
        }

        @Override
        public void sleep(long delay, TimeUnit unit) throws InterruptedException {
            Ticker.systemTicker().sleep(delay, unit);
        }
    }
}
