package org.rattanrudder.daemon.loop;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.wire.http.HttpCaller;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * The threads of a process other than its handler thread: HTTP, links and a timer.
 *
 * @param worker the I/O threads of the HTTP servers and clients
 * @param links the event loop of the links to other processes
 * @param timer runs short scheduled tasks
 * @param caller the HTTP client, which runs on the worker's threads
 */
public record ProcessThreads(XnioWorker worker, EventLoopGroup links, ScheduledExecutorService timer, HttpCaller caller)
        implements AutoCloseable {
    private static final long CLOSE_TIMEOUT_MILLIS = 1_000;

    /** Starts the threads, with the given number of HTTP I/O threads. */
    public static ProcessThreads start(int httpThreads) throws IOException {
        OptionMap options = OptionMap.builder()
                .set(Options.WORKER_NAME, "http")
                .set(Options.WORKER_IO_THREADS, httpThreads)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.THREAD_DAEMON, true)
                .getMap();
        XnioWorker worker =
                Xnio.getInstance(ProcessThreads.class.getClassLoader()).createWorker(options);
        ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1, ProcessThreads::timerThread);
        timer.setRemoveOnCancelPolicy(true);
        // Ignores the retries that readers still schedule after the shutdown.
        timer.setRejectedExecutionHandler((task, executor) -> {});
        return new ProcessThreads(
                worker,
                new MultiThreadIoEventLoopGroup(1, ProcessThreads::linkThread, NioIoHandler.newFactory()),
                timer,
                HttpCaller.on(worker));
    }

    /** Runs a task at a fixed rate. */
    public void scheduleAtFixedRate(long millis, Runnable task) {
        timer.scheduleAtFixedRate(task, millis, millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        timer.shutdownNow();
        caller.close();
        links.shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        worker.shutdownNow();
    }

    private static Thread timerThread(Runnable work) {
        return daemon(work, "timer");
    }

    private static Thread linkThread(Runnable work) {
        return daemon(work, "links");
    }

    private static Thread daemon(Runnable work, String name) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        return thread;
    }
}
