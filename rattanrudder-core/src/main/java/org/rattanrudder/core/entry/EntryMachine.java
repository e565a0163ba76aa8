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

/**
 * An entry: admits callers' requests, sends each to a target's companion, and passes the answer back whole.
 *
 * <pre>{@code
 * EntryMachine entry = new EntryMachine(settings, reader, new SplittableRandom(seed));
 * entry.handle(new EntryEvent.LogRead(Stream.CONFIGURATION, records, true), clock.nowMicros(), effects::add);
 * entry.handle(new EntryEvent.RequestArrived(1, request), clock.nowMicros(), effects::add);
 * }</pre>
 */
public final class EntryMachine implements StateMachine<EntryEvent, EntryEffect> {
    /**
     * How long requests are still taken after the process was asked to stop, in microseconds: the platform's balancer
     * needs that long to see that the entry leaves, and what it sends until then is to be served.
     */
    public static final long DRAIN_MICROS = 2_000_000;

    private static final long NOT_DRAINING = -1;

    /** Operators wait longer for a slow log than callers would. */
    private static final LogWriterSettings LOG_SETTINGS =
            new LogWriterSettings(10_000, 256, 256 * 1024, 4096, 200_000, 2_000_000, 20_000, 2_000_000);

    private final Outbox outbox = new Outbox();
    private final ServiceTable services;
    private final Requests requests;
    private final Admission admission;
    private final PromptQuarantine quarantine;
    private final Endings endings;
    private final Attempts attempts;
    private final AnswerRelay answers;
    private final Membership membership;
    private final LogWriter log;
    private final Configuration configuration;
    private final Publisher publisher;
    private final OperatorQueries operators;
    private final Set<Address> peers;
    private boolean logReachable;
    private long drainMicros = NOT_DRAINING;
    private boolean drained;

    /**
     * Creates an entry that knows no document yet.
     *
     * @param settings what it knows of itself
     * @param reader reads documents
     * @param random breaks ties and spreads retries
     */
    public EntryMachine(EntrySettings settings, DocumentReader reader, RandomGenerator random) {
        this(settings, reader, random, new AffinityPolicy(settings.failureDomain(), random));
    }

    /** Creates an entry with another policy, to compare policies. */
    public EntryMachine(EntrySettings settings, DocumentReader reader, RandomGenerator random, RoutingPolicy policy) {
        services = new ServiceTable(random);
        requests = new Requests();
        admission = new Admission(services);
        quarantine = new PromptQuarantine();
        endings = new Endings(settings.incarnation(), requests, services, outbox, quarantine);
        attempts = new Attempts(requests, endings, policy, outbox, quarantine);
        answers = new AnswerRelay(requests, attempts, endings, outbox);
        membership = new Membership(settings, services, outbox, random, attempts);
        attempts.use(membership);
        peers = Set.copyOf(settings.peers());
        log = new LogWriter(LogStream.CONFIGURATION, settings.incarnation(), LOG_SETTINGS, random);
        configuration = new Configuration(reader, services, log, random, outbox);
        publisher = new Publisher(settings.incarnation(), reader, configuration, log, outbox);
        operators = new OperatorQueries(settings, services, admission, policy, outbox);
    }

    /** Returns whether the entry has read the configuration and takes requests. */
    public boolean isReady() {
        return configuration.isKnown() && drainMicros == NOT_DRAINING;
    }

    /** Returns the documents in force. */
    public List<ServiceDocument> documents() {
        return services.documents();
    }

    @Override
    public void handle(EntryEvent event, long nowMicros, Consumer<? super EntryEffect> effects) {
        outbox.bind(effects);
        if (event instanceof EntryEvent.FrameArrived arrived) {
            frame(arrived.companion(), arrived.frame(), nowMicros);
        } else if (event instanceof EntryEvent.RequestArrived arrived) {
            request(arrived, nowMicros);
        } else if (event instanceof EntryEvent.ChunksWritten took) {
            requests.bySequence(took.sequence())
                    .ifPresent(inFlight -> answers.callerTook(inFlight, took.chunks(), nowMicros));
        } else if (event instanceof EntryEvent.CallerDisconnected gone) {
            requests.bySequence(gone.sequence()).ifPresent(inFlight -> attempts.cancel(inFlight, nowMicros));
        } else if (event instanceof EntryEvent.Tick) {
            tick(nowMicros);
        } else if (event instanceof EntryEvent.LinkOpened opened) {
            membership.opened(opened.companion(), opened.hello(), nowMicros);
            configuration.linked(opened.companion(), nowMicros);
        } else if (event instanceof EntryEvent.LinkClosed closed) {
            membership.closed(closed.companion(), nowMicros);
        } else {
            platform(event, nowMicros);
        }
        log.sendDue(nowMicros, (stream, batch) -> outbox.emit(new EntryEffect.Append(stream, batch)));
        finishDraining(nowMicros);
    }

    private void platform(EntryEvent event, long nowMicros) {
        if (event instanceof EntryEvent.LogRead read) {
            logRead(read, nowMicros);
        } else if (event instanceof EntryEvent.LogReadFailed failed) {
            logReadFailed(failed.stream(), nowMicros);
        } else if (event instanceof EntryEvent.AppendSettled settled) {
            log.onAppendResult(settled.sequence(), settled.result(), nowMicros);
        } else if (event instanceof EntryEvent.InstancesListed listed) {
            membership.listed(listed.instances(), nowMicros);
        } else if (event instanceof EntryEvent.OperatorCalled called) {
            operator(called.handle(), called.call(), nowMicros);
        } else if (event instanceof EntryEvent.DrainRequested) {
            drain(nowMicros);
        }
    }

    private void logRead(EntryEvent.LogRead read, long nowMicros) {
        logReachable = true;
        if (read.stream() != LogStream.CONFIGURATION) {
            return;
        }
        log.onRecords(read.records(), read.caughtUp());
        publisher.readBack(configuration.read(read.records(), read.caughtUp()));
        publisher.tick(nowMicros);
        follow(nowMicros);
    }

    /**
     * Links to the companions that the documents name; as long as there are none, to those of the settings.
     *
     * <p>Failure: an entry that starts while the log is down refuses every request until the log is back, since it
     * knows no document and from none whom to ask. Companions answer with the documents that they hold.
     */
    private void follow(long nowMicros) {
        membership.follow(configuration.isKnown() ? services.companions() : peers, nowMicros);
    }

    private void logReadFailed(LogStream stream, long nowMicros) {
        logReachable = false;
        if (stream == LogStream.CONFIGURATION) {
            log.onReadFailed();
            configuration.readFailed();
            publisher.tick(nowMicros);
            follow(nowMicros);
        }
    }

    private void request(EntryEvent.RequestArrived arrived, long nowMicros) {
        CallerRequest request = arrived.request();
        if (drainMicros != NOT_DRAINING && nowMicros - drainMicros >= DRAIN_MICROS) {
            Refusal leaving = new Refusal(ErrorKind.DRAINING, 0, "this entry leaves");
            Admission.Refused refused = new Admission.Refused(leaving, "", "");
            endings.refuseUnadmitted(arrived.sequence(), request, refused, nowMicros);
            return;
        }
        Admission.Verdict verdict =
                admission.judge(request, membership.entries(nowMicros), membership.usage(), nowMicros);
        if (verdict instanceof Admission.Admitted admitted) {
            admitted(arrived, admitted.terms(), nowMicros);
        } else if (verdict instanceof Admission.Refused refused) {
            endings.refuseUnadmitted(arrived.sequence(), request, refused, nowMicros);
        }
    }

    private void admitted(EntryEvent.RequestArrived arrived, Admission.Terms terms, long nowMicros) {
        Optional<Refusal> quarantined = quarantine.refusal(terms, arrived.request(), nowMicros);
        if (quarantined.isPresent()) {
            Admission.Refused refused = new Admission.Refused(
                    quarantined.get(),
                    terms.customer().name().value(),
                    terms.requestClass().name());
            endings.refuseUnadmitted(arrived.sequence(), arrived.request(), refused, nowMicros);
            return;
        }
        attempts.begin(new InFlight(arrived.sequence(), arrived.request(), terms, nowMicros), nowMicros);
    }

    private void frame(Address companion, Frame frame, long nowMicros) {
        if (!membership.heard(companion, nowMicros)) {
            return;
        }
        if (frame instanceof Frame.AttemptFrame ofAttempt) {
            answers.take(companion, ofAttempt, nowMicros);
        } else if (frame instanceof Frame.Heartbeat heartbeat) {
            membership.heartbeat(companion, heartbeat, nowMicros);
            configuration.heard(companion, heartbeat, nowMicros);
        } else if (frame instanceof Frame.ConfigurationRequest request) {
            configuration.asked(companion, request);
        } else if (frame instanceof Frame.ConfigurationRecords told) {
            configuration.told(told.records());
            follow(nowMicros);
        } else if (frame instanceof Frame.Leaving) {
            membership.leaving(companion);
        }
    }

    private void operator(long handle, OperatorCall call, long nowMicros) {
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
        attempts.tick(nowMicros);
        publisher.tick(nowMicros);
        configuration.tick(nowMicros);
        quarantine.tick(nowMicros);
    }

    private void drain(long nowMicros) {
        if (drainMicros != NOT_DRAINING) {
            return;
        }
        drainMicros = nowMicros;
        for (CompanionLink link : membership.links()) {
            if (link.isOpen()) {
                outbox.send(link.address, new Frame.Leaving());
            }
        }
    }

    private void finishDraining(long nowMicros) {
        boolean over = drainMicros != NOT_DRAINING && nowMicros - drainMicros >= DRAIN_MICROS;
        if (over && !drained && requests.isEmpty() && publisher.isIdle()) {
            drained = true;
            outbox.emit(new EntryEffect.Drained());
        }
    }
}
