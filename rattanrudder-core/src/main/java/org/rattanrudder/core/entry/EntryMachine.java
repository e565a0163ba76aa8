package org.rattanrudder.core.entry;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.rattanrudder.core.StateMachine;
import org.rattanrudder.core.document.DocumentReader;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.log.LogStream;
import org.rattanrudder.core.log.LogWriter;
import org.rattanrudder.core.log.LogWriterSettings;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.core.routing.AffinityPolicy;
import org.rattanrudder.core.routing.RoutingPolicy;
import org.rattanrudder.core.time.EventTime;

/**
 * The state machine of an entry: admits callers' requests, dispatches each to a target's companion and forwards the
 * complete answer.
 *
 * <pre>{@code
 * EntryMachine entry = new EntryMachine(settings, reader, new SplittableRandom(seed));
 * entry.handle(new EntryEvent.LogRead(Stream.CONFIGURATION, records, true), clock.now(), effects::add);
 * entry.handle(new EntryEvent.RequestArrived(1, request), clock.now(), effects::add);
 * }</pre>
 */
public final class EntryMachine implements StateMachine<EntryEvent, EntryEffect> {
    /**
     * Time in microseconds for which requests are still accepted after the process was asked to stop. The platform's
     * load balancer needs that long to notice, and the requests that it sends until then must be served.
     */
    public static final long DRAIN_GRACE_MICROS = 2_000_000;

    private static final Refusal LEAVING = new Refusal(ErrorKind.DRAINING, 0, "this entry leaves");

    /** The timeouts are long because operators wait longer for a slow log than callers would. */
    private static final LogWriterSettings LOG_SETTINGS =
            new LogWriterSettings(10_000, 256, 256 * 1024, 4096, 200_000, 2_000_000, 20_000, 2_000_000);

    private final Outbox outbox = new Outbox();
    private final LongestTime longestTime = new LongestTime();
    private final ServiceTable services;
    private final InFlightRequests requests;
    private final Admission admission;
    private final PromptQuarantine quarantine;
    private final RequestCompleter completer;
    private final RequestDispatcher dispatcher;
    private final AnswerRelay answers;
    private final Membership membership;
    private final LogWriter log;
    private final Configuration configuration;
    private final Publisher publisher;
    private final OperatorQueries operators;
    private final Set<Address> bootstrapCompanions;
    private boolean logReachable;
    private final EntryDrain drain = new EntryDrain(longestTime);
    private boolean drained;

    /**
     * Creates an entry without documents.
     *
     * @param settings the entry's settings
     * @param reader parses documents
     * @param random source of randomness for routing and for jitter
     */
    public EntryMachine(EntrySettings settings, DocumentReader reader, RandomGenerator random) {
        this(settings, reader, random, new AffinityPolicy(settings.failureDomain(), random));
    }

    /** Creates an entry with the given routing policy, to compare policies. */
    public EntryMachine(EntrySettings settings, DocumentReader reader, RandomGenerator random, RoutingPolicy policy) {
        services = new ServiceTable(random);
        requests = new InFlightRequests();
        admission = new Admission(services);
        quarantine = new PromptQuarantine();
        completer = new RequestCompleter(settings.incarnation(), requests, services, outbox, quarantine);
        dispatcher = new RequestDispatcher(requests, completer, policy, outbox, quarantine, longestTime);
        answers = new AnswerRelay(requests, dispatcher, completer, outbox);
        membership = new Membership(settings, services, outbox, random, dispatcher);
        dispatcher.setMembership(membership);
        bootstrapCompanions = Set.copyOf(settings.bootstrapCompanions());
        log = new LogWriter(LogStream.CONFIGURATION, settings.incarnation(), LOG_SETTINGS, random);
        configuration = new Configuration(reader, services, log, random, outbox);
        publisher = new Publisher(settings.incarnation(), reader, configuration, log, outbox);
        operators = new OperatorQueries(settings, services, admission, policy, outbox);
    }

    /** Returns whether the entry has a configuration and isn't draining. */
    public boolean isReady() {
        return configuration.isKnown() && !drain.isStarted();
    }

    /** Returns the documents in force. */
    public List<ServiceDocument> documents() {
        return services.documents();
    }

    @Override
    public void handle(EntryEvent event, EventTime now, Consumer<? super EntryEffect> effects) {
        long nowMicros = now.atLeastMicros();
        outbox.bind(effects);
        longestTime.bind(now);
        if (event instanceof EntryEvent.FrameArrived arrived) {
            handleFrame(arrived.companion(), arrived.frame(), nowMicros);
        } else if (event instanceof EntryEvent.RequestArrived arrived) {
            handleRequest(arrived, nowMicros);
        } else if (event instanceof EntryEvent.ChunksWritten written) {
            requests.bySequence(written.sequence())
                    .ifPresent(inFlight -> answers.onChunksWritten(inFlight, written.chunks(), nowMicros));
        } else if (event instanceof EntryEvent.CallerDisconnected disconnected) {
            requests.bySequence(disconnected.sequence()).ifPresent(inFlight -> dispatcher.cancel(inFlight, nowMicros));
        } else if (event instanceof EntryEvent.Tick) {
            tick(nowMicros);
        } else if (event instanceof EntryEvent.LinkOpened opened) {
            membership.onLinkOpened(opened.companion(), opened.hello(), nowMicros);
            configuration.onLinkOpened(opened.companion(), nowMicros);
        } else if (event instanceof EntryEvent.LinkClosed closed) {
            membership.onLinkClosed(closed.companion(), nowMicros);
        } else {
            handlePlatformEvent(event, nowMicros);
        }
        log.sendDue(nowMicros, (stream, batch) -> outbox.emit(new EntryEffect.Append(stream, batch)));
        finishDraining(nowMicros);
    }

    private void handlePlatformEvent(EntryEvent event, long nowMicros) {
        if (event instanceof EntryEvent.LogRead read) {
            onLogRead(read, nowMicros);
        } else if (event instanceof EntryEvent.LogReadFailed failed) {
            onLogReadFailed(failed.stream(), nowMicros);
        } else if (event instanceof EntryEvent.AppendSettled settled) {
            log.onAppendResult(settled.sequence(), settled.result(), nowMicros);
        } else if (event instanceof EntryEvent.InstancesListed listed) {
            membership.onInstancesListed(listed.instances(), nowMicros);
        } else if (event instanceof EntryEvent.OperatorCalled called) {
            handleOperatorCall(called.handle(), called.call(), nowMicros);
        } else if (event instanceof EntryEvent.DrainRequested requested) {
            startDrain(requested.graceMillis(), nowMicros);
        } else if (event instanceof EntryEvent.GraceEnding ends) {
            drain.end();
            dispatcher.endAll(ends.alsoBegun(), nowMicros);
            publisher.endAll(nowMicros);
        }
    }

    private void onLogRead(EntryEvent.LogRead read, long nowMicros) {
        logReachable = true;
        if (read.stream() != LogStream.CONFIGURATION) {
            return;
        }
        log.onRecords(read.records(), read.caughtUp());
        publisher.onDecisions(configuration.onLogRecords(read.records(), read.caughtUp()));
        publisher.tick(nowMicros);
        updateCompanions(nowMicros);
    }

    /**
     * Links to the companions in the documents or, while there are no documents, to the bootstrap companions.
     *
     * <p>Without these, an entry that starts while the log is down would refuse every request until the log is back: it
     * has no document, and only documents contain the companions' addresses. Companions send the documents that they
     * have.
     */
    private void updateCompanions(long nowMicros) {
        membership.setCompanions(configuration.isKnown() ? services.companions() : bootstrapCompanions, nowMicros);
    }

    private void onLogReadFailed(LogStream stream, long nowMicros) {
        logReachable = false;
        if (stream == LogStream.CONFIGURATION) {
            log.onReadFailed();
            configuration.onLogReadFailed();
            publisher.tick(nowMicros);
            updateCompanions(nowMicros);
        }
    }

    private void handleRequest(EntryEvent.RequestArrived arrived, long nowMicros) {
        CallerRequest request = arrived.request();
        if (drain.refusesAll(nowMicros)) {
            Admission.Refused refused = new Admission.Refused(LEAVING, "", "");
            completer.refuseUnadmitted(arrived.sequence(), request, refused, nowMicros);
            return;
        }
        Admission.Decision decision =
                admission.decide(request, membership.entryCount(nowMicros), membership.usage(), nowMicros);
        if (decision instanceof Admission.Admitted admitted) {
            handleAdmitted(arrived, admitted.terms(), nowMicros);
        } else if (decision instanceof Admission.Refused refused) {
            completer.refuseUnadmitted(arrived.sequence(), request, refused, nowMicros);
        }
    }

    private void handleAdmitted(EntryEvent.RequestArrived arrived, Admission.Terms terms, long nowMicros) {
        Optional<Refusal> refusal =
                drain.refuses(terms) ? Optional.of(LEAVING) : quarantine.refusal(terms, arrived.request(), nowMicros);
        if (refusal.isPresent()) {
            Admission.Refused refused = new Admission.Refused(
                    refusal.get(),
                    terms.customer().name().value(),
                    terms.requestClass().name());
            completer.refuseUnadmitted(arrived.sequence(), arrived.request(), refused, nowMicros);
            return;
        }
        EventTime now = new EventTime(nowMicros, longestTime.micros());
        dispatcher.start(new InFlightRequest(arrived.sequence(), arrived.request(), terms, now), nowMicros);
    }

    private void handleFrame(Address companion, Frame frame, long nowMicros) {
        if (!membership.onFrame(companion, nowMicros)) {
            return;
        }
        if (frame instanceof Frame.AttemptFrame ofAttempt) {
            answers.onFrame(companion, ofAttempt, nowMicros);
        } else if (frame instanceof Frame.Heartbeat heartbeat) {
            membership.onHeartbeat(companion, heartbeat, nowMicros);
            configuration.onHeartbeat(companion, heartbeat, nowMicros);
        } else if (frame instanceof Frame.ConfigurationRequest request) {
            configuration.onConfigurationRequest(companion, request);
        } else if (frame instanceof Frame.ConfigurationRecords records) {
            configuration.onConfigurationRecords(records.records());
            updateCompanions(nowMicros);
        } else if (frame instanceof Frame.Leaving) {
            membership.onLeaving(companion);
        }
    }

    private void handleOperatorCall(long handle, OperatorCall call, long nowMicros) {
        if (call instanceof OperatorCall.Publish publish) {
            publisher.publish(handle, publish, nowMicros);
        } else if (call instanceof OperatorCall.Show show) {
            operators.show(handle, show);
        } else if (call instanceof OperatorCall.Status) {
            operators.status(handle, membership.links(), logReachable, nowMicros);
        } else if (call instanceof OperatorCall.Explain explain) {
            operators.explain(handle, explain, nowMicros);
        }
    }

    private void tick(long nowMicros) {
        membership.tick(nowMicros);
        dispatcher.tick(nowMicros);
        publisher.tick(nowMicros);
        configuration.tick(nowMicros);
        quarantine.tick(nowMicros);
    }

    private void startDrain(long graceMillis, long nowMicros) {
        if (drain.isStarted()) {
            return;
        }
        drain.start(graceMillis, nowMicros);
        for (CompanionLink link : membership.links()) {
            if (link.isOpen()) {
                outbox.send(link.address, new Frame.Leaving());
            }
        }
    }

    private void finishDraining(long nowMicros) {
        if (drain.refusesAll(nowMicros) && !drained && requests.isEmpty() && publisher.isIdle()) {
            drained = true;
            outbox.emit(new EntryEffect.Drained());
        }
    }
}
