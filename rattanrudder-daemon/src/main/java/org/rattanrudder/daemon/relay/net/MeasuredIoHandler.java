package org.rattanrudder.daemon.relay.net;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.ThreadAwareExecutor;

/** Has a handler of connections report for how long it handles them, without the time in which it waits. */
final class MeasuredIoHandler implements IoHandler {
    private final IoHandler handler;
    private final LoopTurns turns;

    private MeasuredIoHandler(IoHandler handler, LoopTurns turns) {
        this.handler = handler;
        this.turns = turns;
    }

    static IoHandlerFactory factory(IoHandlerFactory handlers, LoopTurns turns) {
        return new IoHandlerFactory() {
            @Override
            public IoHandler newHandler(ThreadAwareExecutor executor) {
                return new MeasuredIoHandler(handlers.newHandler(executor), turns);
            }

            @Override
            public boolean isChangingThreadSupported() {
                return handlers.isChangingThreadSupported();
            }
        };
    }

    @Override
    public int run(IoHandlerContext context) {
        return handler.run(new IoHandlerContext() {
            @Override
            public boolean canBlock() {
                return context.canBlock();
            }

            @Override
            public long delayNanos(long currentTimeNanos) {
                return context.delayNanos(currentTimeNanos);
            }

            @Override
            public long deadlineNanos() {
                return context.deadlineNanos();
            }

            @Override
            public boolean shouldReportActiveIoTime() {
                return true;
            }

            @Override
            public void reportActiveIoTime(long activeNanos) {
                turns.onConnectionsHandled(activeNanos);
            }
        });
    }

    @Override
    public void initialize() {
        handler.initialize();
    }

    @Override
    public void prepareToDestroy() {
        handler.prepareToDestroy();
    }

    @Override
    public void destroy() {
        handler.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return handler.register(handle);
    }

    @Override
    public void wakeup() {
        handler.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handleType) {
        return handler.isCompatible(handleType);
    }
}
