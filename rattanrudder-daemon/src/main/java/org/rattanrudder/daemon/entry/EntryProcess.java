package org.rattanrudder.daemon.entry;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.entry.EntryEffect;
import org.rattanrudder.core.entry.EntryEvent;
import org.rattanrudder.core.entry.EntryMachine;
import org.rattanrudder.core.entry.EntrySettings;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.gateway.ShutdownPolicy;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.log.LogStream;
import org.rattanrudder.core.memory.ByteBudget;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.core.time.EventTime;
import org.rattanrudder.daemon.http.BodyReader;
import org.rattanrudder.daemon.http.HealthHandler;
import org.rattanrudder.daemon.http.HttpServer;
import org.rattanrudder.daemon.http.MetricsHandler;
import org.rattanrudder.daemon.http.OpenExchanges;
import org.rattanrudder.daemon.logging.EventLog;
import org.rattanrudder.daemon.loop.ClockLog;
import org.rattanrudder.daemon.loop.ClockSource;
import org.rattanrudder.daemon.loop.Closer;
import org.rattanrudder.daemon.loop.DrainLatch;
import org.rattanrudder.daemon.loop.ProcessClock;
import org.rattanrudder.daemon.loop.ProcessThreads;
import org.rattanrudder.daemon.loop.RunningProcess;
import org.rattanrudder.daemon.loop.StateMachineLoop;
import org.rattanrudder.daemon.metrics.EntryMetrics;
import org.rattanrudder.daemon.platform.InstanceListReader;
import org.rattanrudder.daemon.platform.LogAppender;
import org.rattanrudder.daemon.platform.LogFollower;
import org.rattanrudder.daemon.platform.LogFollowers;
import org.rattanrudder.document.ProcessSettings;
import org.rattanrudder.document.ServiceDocumentParser;

/** An entry that runs: the machine on its ring and every adapter around it. */
public final class EntryProcess implements RunningProcess, LogFollower.Listener {
    private static final int HTTP_THREADS = 2;

    private final ProcessSettings settings;
    private final Closer closer = new Closer();
    private final HealthHandler health = new HealthHandler();
    private final PieceSizes pieceSizes = new PieceSizes();
    private final KnownCredentials credentials = new KnownCredentials();
    private final DrainLatch drain = new DrainLatch();
    private final OpenExchanges exchanges = new OpenExchanges();
    private final ProcessClock clock;
    private final EventLog log;
    private final EntryMachine machine;
    private final StateMachineLoop<EntryEvent, EntryEffect> loop;
    private final Callers callers;
    private BodyReader bodies;
    private final CompanionLinks links;
    private final HttpServer server;

    /**
     * Starts an entry.
     *
     * @param settings its settings
     * @param incarnation drawn anew at each start; never 0
     * @param release its release
     * @throws IOException if it can't listen
     */
    public EntryProcess(ProcessSettings settings, long incarnation, String release) throws IOException {
        this.settings = settings;
        clock = new ProcessClock(ClockSource.system());
        log = new EventLog(Logger.getLogger(EntryProcess.class), clock::atLeastMicros);
        EntrySettings identity = new EntrySettings(
                settings.instance(), incarnation, settings.failureDomain(), release, settings.peers());
        machine = new EntryMachine(identity, new ServiceDocumentParser(), new SplittableRandom(incarnation));
        loop = new StateMachineLoop<EntryEvent, EntryEffect>(
                this::handle, clock::eventTime, StateMachineLoop.RING_SIZE);
        callers = new Callers(loop::publish);
        try {
            ProcessThreads threads = closer.add(ProcessThreads.start(HTTP_THREADS));
            Frame.Hello hello = new Frame.Hello(settings.instance(), incarnation, settings.failureDomain(), release);
            links = new CompanionLinks(threads.links(), hello, loop, log);
            server = start(threads, identity);
        } catch (IOException | RuntimeException failed) {
            closer.close();
            throw failed;
        }
    }

    private HttpServer start(ProcessThreads threads, EntrySettings identity) throws IOException {
        PrometheusRegistry registry = new PrometheusRegistry();
        EntryMetrics metrics = new EntryMetrics(registry);
        ClockLog.register(clock, log, ClockLog.GaugeNames.ENTRY_OR_COMPANION, metrics::gauge);
        threads.scheduleAtFixedRate(ProcessClock.CHECK_INTERVAL_MILLIS, clock::check);
        metrics.gauge("rattanrudder_callers", "Requests whose answers are under way", callers::count);
        metrics.gauge("rattanrudder_ring_waiting", "Events that wait in the ring", loop::pendingEvents);
        metrics.gauge("rattanrudder_companions", "Companions with an open link", links::count);
        metrics.gauge("rattanrudder_link_sent_bytes", "Bytes of frames sent to companions", links::sentBytes);
        metrics.gauge("rattanrudder_link_received_bytes", "Bytes of frames from companions", links::receivedBytes);
        LogFollowers followers = new LogFollowers(
                threads.caller(),
                threads.timer(),
                settings.platform().log(),
                EnumSet.of(LogStream.CONFIGURATION),
                this,
                LogFollower.AvailabilityListener.loggingTo(log));
        RequestAccounts accounts = new RequestAccounts(identity, metrics, clock);
        Consumer<EntryEvent> publish = loop::publish;
        bodies = new BodyReader(
                settings.limits(),
                ByteBudget.ofHeap(Runtime.getRuntime().maxMemory()),
                (exchange, refusal) ->
                        log.info("request_refused", "kind", refusal.kind().wireName(), "detail", refusal.detail()));
        OperatorHandler operators = new OperatorHandler(
                settings.operatorCredential().orElseThrow(), pieceSizes, bodies, publish, accounts::burn);
        EntryEffects effects = new EntryEffects(
                callers,
                links,
                new LogAppender(threads.caller(), settings.platform().log(), followers),
                operators,
                publish,
                accounts,
                log,
                drain::onDrained);
        loop.start(effects);
        closer.add(loop);
        CallerHandler callerHandler =
                new CallerHandler(identity.incarnation(), callers, pieceSizes, credentials, bodies, publish, log);
        HttpServer listening = closer.add(new HttpServer(
                threads.worker(),
                new InetSocketAddress(settings.http().host(), settings.http().port()),
                settings.limits(),
                new EntryHttp(
                        exchanges.counting(callerHandler),
                        exchanges.counting(operators),
                        health,
                        new MetricsHandler(registry),
                        log)));
        followers.start();
        pollInstances(threads);
        return listening;
    }

    private void pollInstances(ProcessThreads threads) {
        InstanceListReader instances = new InstanceListReader(
                threads.caller(),
                settings.platform().instances(),
                listed -> loop.publish(new EntryEvent.InstancesListed(listed)));
        threads.scheduleAtFixedRate(InstanceListReader.POLL_INTERVAL_MILLIS, instances::poll);
        threads.scheduleAtFixedRate(
                StateMachineLoop.TICK_INTERVAL_MILLIS, () -> loop.tryPublish(new EntryEvent.Tick()));
    }

    /** Gives an event to the machine, and takes out what I/O threads may know of it; on the handler thread. */
    private void handle(EntryEvent event, EventTime now, Consumer<? super EntryEffect> effects) {
        machine.handle(event, now, effects);
        if (event instanceof EntryEvent.Tick) {
            health.setReady(machine.isReady() && links.count() > 0);
        } else if (event instanceof EntryEvent.LogRead || isRecords(event)) {
            Map<String, Integer> sizes = new HashMap<>();
            for (ServiceDocument document : machine.documents()) {
                sizes.put(document.service().value(), document.cache().pieceTokens());
            }
            pieceSizes.set(sizes);
            credentials.take(machine.documents());
        }
    }

    private static boolean isRecords(EntryEvent event) {
        return event instanceof EntryEvent.FrameArrived arrived
                && arrived.frame() instanceof Frame.ConfigurationRecords;
    }

    @Override
    public void onRecords(LogStream stream, List<LogRecord> records, boolean caughtUp) {
        loop.publish(new EntryEvent.LogRead(stream, records, caughtUp));
    }

    @Override
    public void onReadFailed(LogStream stream) {
        loop.publish(new EntryEvent.LogReadFailed(stream));
    }

    @Override
    public Address http() {
        return server.address();
    }

    @Override
    public boolean drain() throws InterruptedException {
        health.startDraining();
        exchanges.startDraining();
        long graceMillis = TimeUnit.SECONDS.toMillis(settings.drainSeconds());
        loop.publish(new EntryEvent.DrainRequested(graceMillis));
        long exitMillis = ShutdownPolicy.exitMarginMillis(graceMillis);
        long cutMillis = ShutdownPolicy.cutMarginMillis(graceMillis);
        boolean finished = drain.await(graceMillis - exitMillis, exchanges::hasOpen);
        if (!finished) {
            giveLastAnswers(exitMillis - cutMillis, cutMillis / 2);
        }
        DrainLatch.awaitEnd(cutMillis / 2, exchanges::hasUnclosed);
        return finished;
    }

    /** Answers whoever still waits; answers that have begun go on for a while, and are cut then. */
    private void giveLastAnswers(long begunMillis, long cutMillis) throws InterruptedException {
        log.warn("grace_ending", "callers", Integer.toString(callers.count()));
        bodies.refusePending(new Refusal(ErrorKind.DRAINING, 0, "this entry ends"));
        loop.publish(new EntryEvent.GraceEnding(false));
        if (!drain.await(begunMillis, exchanges::hasOpen)) {
            loop.publish(new EntryEvent.GraceEnding(true));
            drain.await(cutMillis, exchanges::hasOpen);
        }
    }

    @Override
    public void close() {
        closer.close();
    }
}
