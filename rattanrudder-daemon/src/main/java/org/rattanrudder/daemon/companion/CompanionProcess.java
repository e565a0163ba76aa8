package org.rattanrudder.daemon.companion;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.EnumSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.rattanrudder.core.StateMachine;
import org.rattanrudder.core.companion.CompanionEffect;
import org.rattanrudder.core.companion.CompanionEvent;
import org.rattanrudder.core.companion.CompanionMachine;
import org.rattanrudder.core.companion.CompanionSettings;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.log.LogStream;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.daemon.http.ErrorResponse;
import org.rattanrudder.daemon.http.HealthHandler;
import org.rattanrudder.daemon.http.HttpServer;
import org.rattanrudder.daemon.http.MetricsHandler;
import org.rattanrudder.daemon.logging.EventLog;
import org.rattanrudder.daemon.loop.ClockLog;
import org.rattanrudder.daemon.loop.ClockSource;
import org.rattanrudder.daemon.loop.Closer;
import org.rattanrudder.daemon.loop.DrainLatch;
import org.rattanrudder.daemon.loop.ProcessClock;
import org.rattanrudder.daemon.loop.ProcessThreads;
import org.rattanrudder.daemon.loop.RunningProcess;
import org.rattanrudder.daemon.loop.StateMachineLoop;
import org.rattanrudder.daemon.metrics.CompanionMetrics;
import org.rattanrudder.daemon.platform.LogAppender;
import org.rattanrudder.daemon.platform.LogFollower;
import org.rattanrudder.daemon.platform.LogFollowers;
import org.rattanrudder.document.ProcessSettings;
import org.rattanrudder.document.ServiceDocumentParser;
import org.rattanrudder.wire.link.LinkServer;
import org.rattanrudder.wire.link.LinkSettings;

/** A companion that runs: the machine on its ring and every adapter around it. */
public final class CompanionProcess implements RunningProcess, LogFollower.Listener {
    private static final int HTTP_THREADS = 1;

    private final ProcessSettings settings;
    private final Closer closer = new Closer();
    private final HealthHandler health = new HealthHandler();
    private final DrainLatch drain = new DrainLatch();
    private final CompanionMetrics metrics;
    private final EventLog log;
    private final StateMachineLoop<CompanionEvent, CompanionEffect> loop;
    private final EntryLinks links;
    private final HttpServer server;

    /**
     * Starts a companion.
     *
     * @param settings its settings
     * @param incarnation drawn anew at each start; never 0
     * @param release its release
     * @throws IOException if it can't listen
     */
    public CompanionProcess(ProcessSettings settings, long incarnation, String release) throws IOException {
        this.settings = settings;
        ProcessClock clock = new ProcessClock(ClockSource.system());
        log = new EventLog(Logger.getLogger(CompanionProcess.class), clock::atLeastMicros);
        PrometheusRegistry registry = new PrometheusRegistry();
        metrics = new CompanionMetrics(registry);
        ClockLog.register(clock, log, ClockLog.GaugeNames.ENTRY_OR_COMPANION, metrics::gauge);
        Address advertised = settings.link().orElseThrow();
        CompanionSettings identity =
                new CompanionSettings(settings.instance(), incarnation, advertised, settings.failureDomain(), release);
        CompanionMachine machine =
                new CompanionMachine(identity, new ServiceDocumentParser(), new SplittableRandom(incarnation));
        loop = new StateMachineLoop<>(counting(machine), clock::eventTime, StateMachineLoop.RING_SIZE);
        links = new EntryLinks(loop, log);
        try {
            ProcessThreads threads = closer.add(ProcessThreads.start(HTTP_THREADS));
            threads.scheduleAtFixedRate(ProcessClock.CHECK_INTERVAL_MILLIS, clock::check);
            LogFollowers followers = new LogFollowers(
                    threads.caller(),
                    threads.timer(),
                    settings.platform().log(),
                    EnumSet.allOf(LogStream.class),
                    this,
                    LogFollower.AvailabilityListener.loggingTo(log));
            start(threads, followers);
            Frame.Hello hello = new Frame.Hello(settings.instance(), incarnation, settings.failureDomain(), release);
            closer.add(new LinkServer(
                    threads.links(),
                    new InetSocketAddress(advertised.host(), advertised.port()),
                    hello,
                    LinkSettings.DEFAULT,
                    links.traffic(),
                    links));
            server = closer.add(new HttpServer(
                    threads.worker(),
                    new InetSocketAddress(
                            settings.http().host(), settings.http().port()),
                    settings.limits(),
                    http(new MetricsHandler(registry))));
            followers.start();
            threads.scheduleAtFixedRate(
                    StateMachineLoop.TICK_INTERVAL_MILLIS, () -> loop.tryPublish(new CompanionEvent.Tick()));
        } catch (IOException | RuntimeException failed) {
            closer.close();
            throw failed;
        }
    }

    private StateMachine<CompanionEvent, CompanionEffect> counting(CompanionMachine machine) {
        return (event, now, effects) -> {
            metrics.count(event);
            machine.handle(event, now, effects);
            if (event instanceof CompanionEvent.FrameArrived arrived
                    && arrived.frame() instanceof Frame.ConfigurationRecords) {
                // The log is down, and a peer has told what is in force.
                health.setReady(true);
            }
        };
    }

    private void start(ProcessThreads threads, LogFollowers followers) {
        TargetCalls calls = new TargetCalls(threads.caller(), loop);
        metrics.gauge("rattanrudder_target_calls", "Calls to targets under way", calls::count);
        metrics.gauge("rattanrudder_ring_waiting", "Events that wait in the ring", loop::pendingEvents);
        metrics.gauge("rattanrudder_entries", "Entries with an open link", links::count);
        metrics.gauge("rattanrudder_link_sent_bytes", "Bytes of frames sent to entries", links::sentBytes);
        metrics.gauge("rattanrudder_link_received_bytes", "Bytes of frames from entries", links::receivedBytes);
        Consumer<CompanionEvent> publish = loop::publish;
        CompanionEffects effects = new CompanionEffects(
                links,
                calls,
                new BlockCopier(threads.caller(), publish),
                new Orders(threads.caller(), publish),
                new TargetWatches(threads.caller(), threads.timer(), loop),
                new LogAppender(threads.caller(), settings.platform().log(), followers),
                publish,
                log,
                drain::onDrained);
        loop.start(effects);
        closer.add(loop);
    }

    private HttpHandler http(HttpHandler metricsHandler) {
        return exchange -> serve(exchange, metricsHandler);
    }

    private void serve(HttpServerExchange exchange, HttpHandler metricsHandler) throws Exception {
        String path = exchange.getRequestPath();
        if (HealthHandler.serves(path)) {
            health.handleRequest(exchange);
        } else if (path.equals("/metrics")) {
            metricsHandler.handleRequest(exchange);
        } else {
            ErrorResponse.send(exchange, new Refusal(ErrorKind.UNKNOWN_PATH, 0, "nothing is served here"), "");
        }
    }

    @Override
    public void onRecords(LogStream stream, List<LogRecord> records, boolean caughtUp) {
        loop.publish(new CompanionEvent.LogRead(stream, records, caughtUp));
        if (stream == LogStream.CONFIGURATION && caughtUp) {
            health.setReady(true);
        }
    }

    @Override
    public void onReadFailed(LogStream stream) {
        loop.publish(new CompanionEvent.LogReadFailed(stream));
    }

    @Override
    public Address http() {
        return server.address();
    }

    @Override
    public boolean drain() throws InterruptedException {
        health.startDraining();
        loop.publish(new CompanionEvent.DrainRequested());
        return drain.await(TimeUnit.SECONDS.toMillis(settings.drainSeconds()), links::hasPending);
    }

    @Override
    public void close() {
        closer.close();
    }
}
