package org.rattanrudder.core.entry;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.routing.RoutableTarget;

/** Maintains a link to every companion in the documents, and tracks their liveness by heartbeat and incarnation. */
final class Membership {
    /** Interval between an entry's heartbeats, in microseconds. */
    static final long HEARTBEAT_INTERVAL_MICROS = 1_000_000;

    /** Time in microseconds without a frame after which a link counts as unresponsive. */
    static final long LINK_TIMEOUT_MICROS = 2_000_000;

    private static final long OPEN_TIMEOUT_MICROS = 2_000_000;
    private static final long INITIAL_BACKOFF_MICROS = 100_000;
    private static final long MAX_BACKOFF_MICROS = 2_000_000;

    private final EntrySettings settings;
    private final ServiceTable services;
    private final Outbox outbox;
    private final RandomGenerator random;
    private final LinkListener listener;
    private final Map<Address, CompanionLink> links = new LinkedHashMap<>();
    private final CustomerUsage usage = new CustomerUsage();
    private Set<Address> configuredCompanions = Set.of();

    Membership(
            EntrySettings settings,
            ServiceTable services,
            Outbox outbox,
            RandomGenerator random,
            LinkListener listener) {
        this.settings = settings;
        this.services = services;
        this.outbox = outbox;
        this.random = random;
        this.listener = listener;
    }

    Optional<CompanionLink> link(Address companion) {
        return Optional.ofNullable(links.get(companion));
    }

    Collection<CompanionLink> links() {
        return links.values();
    }

    /** Returns the rates of requests that all entries admit for each customer. */
    CustomerUsage usage() {
        return usage;
    }

    /** Returns the number of entries that share the customers' rates: the maximum in the fresh heartbeats. */
    int entryCount(long nowMicros) {
        int max = 1;
        for (CompanionLink link : links.values()) {
            if (link.heartbeat != null && nowMicros - link.heartbeatMicros < RoutableTarget.MAX_REPORT_AGE_MICROS) {
                max = Math.max(max, link.heartbeat.entries());
            }
        }
        return max;
    }

    /** Sets the companions to link to; links to other companions are closed once no attempt needs them. */
    void setCompanions(Set<Address> companions, long nowMicros) {
        configuredCompanions = Set.copyOf(companions);
        for (Address companion : companions) {
            if (!links.containsKey(companion)) {
                CompanionLink link = new CompanionLink(companion);
                links.put(companion, link);
                open(link, nowMicros);
            }
        }
    }

    void onLinkOpened(Address companion, Frame.Hello hello, long nowMicros) {
        CompanionLink link = links.get(companion);
        if (link == null) {
            outbox.emit(new EntryEffect.CloseLink(companion));
            return;
        }
        if (link.incarnation() != hello.incarnation()) {
            link.leaving = false;
            link.heartbeat = null;
            markTargetsUnavailable(companion);
        }
        link.enterState(CompanionLink.State.OPEN, nowMicros);
        link.hello = hello;
        link.lastFrameMicros = nowMicros;
        link.heartbeatsSent = 0;
        sendHeartbeat(link, nowMicros);
        outbox.logEvent(
                "companion_linked",
                "companion",
                companion.toString(),
                "instance",
                hello.instance().value());
        listener.onLinkOpened(link, nowMicros);
    }

    void onLinkClosed(Address companion, long nowMicros) {
        CompanionLink link = links.get(companion);
        if (link == null || link.state == CompanionLink.State.CLOSED) {
            return;
        }
        onLinkLost(link, nowMicros);
    }

    /** Records that a frame was received; returns false if the link isn't open and the frame must be dropped. */
    boolean onFrame(Address companion, long nowMicros) {
        CompanionLink link = links.get(companion);
        if (link == null || !link.isOpen()) {
            return false;
        }
        link.lastFrameMicros = nowMicros;
        return true;
    }

    void onHeartbeat(Address companion, Frame.Heartbeat heartbeat, long nowMicros) {
        CompanionLink link = links.get(companion);
        if (heartbeat.incarnation() != link.incarnation()) {
            // A restarted companion that took over the connection would report on attempts that it never had. Only a
            // hello may change the incarnation, so the link is closed and opened again.
            outbox.emit(new EntryEffect.CloseLink(companion));
            onLinkLost(link, nowMicros);
            return;
        }
        link.failures = 0;
        link.heartbeat = heartbeat;
        link.heartbeatMicros = nowMicros;
        usage.onHeartbeat(companion, heartbeat, nowMicros);
        for (RoutableTarget target : services.targetsOf(companion)) {
            reportOf(heartbeat, target)
                    .filter(state -> !link.leaving)
                    .ifPresentOrElse(state -> target.applyReport(state, nowMicros), target::markUnavailable);
        }
    }

    /** Handles a leaving companion: it gets no new work until a hello of another incarnation is received. */
    void onLeaving(Address companion) {
        link(companion).ifPresent(link -> link.leaving = true);
        markTargetsUnavailable(companion);
    }

    /**
     * Applies the platform's instance list, which may be out of date, as a hint: the companion of a listed target is
     * reconnected soon, and a leaving target is chosen only if there is no other. Only the companion's reports decide
     * whether a target accepts work.
     */
    void onInstancesListed(List<EntryEvent.ListedInstance> instances, long nowMicros) {
        Map<Address, Boolean> leaving = new HashMap<>();
        instances.forEach(instance -> leaving.put(instance.address(), instance.leaving()));
        for (ServedService service : services.all()) {
            for (RoutableTarget target : service.pool().targets()) {
                Boolean listedLeaving = leaving.get(target.settings().address());
                target.setListedLeaving(Boolean.TRUE.equals(listedLeaving));
                if (Boolean.FALSE.equals(listedLeaving)) {
                    retrySoon(target.companion(), nowMicros);
                }
            }
        }
    }

    private void retrySoon(Address companion, long nowMicros) {
        CompanionLink link = links.get(companion);
        if (link != null && link.state == CompanionLink.State.CLOSED) {
            link.nextOpenMicros = Math.min(link.nextOpenMicros, nowMicros + random.nextLong(INITIAL_BACKOFF_MICROS));
        }
    }

    /** Sends heartbeats, replaces unresponsive links and opens links whose back-off has expired. */
    void tick(long nowMicros) {
        for (CompanionLink link : List.copyOf(links.values())) {
            if (!configuredCompanions.contains(link.address) && !listener.needsLink(link.address)) {
                links.remove(link.address);
                usage.remove(link.address);
                outbox.emit(new EntryEffect.CloseLink(link.address));
                continue;
            }
            switch (link.state) {
                case OPEN -> tickOpen(link, nowMicros);
                case OPENING -> tickOpening(link, nowMicros);
                case CLOSED -> tickClosed(link, nowMicros);
                default -> throw new IllegalStateException("unexpected link state: " + link.state);
            }
        }
    }

    private void tickOpen(CompanionLink link, long nowMicros) {
        if (nowMicros - link.lastFrameMicros >= LINK_TIMEOUT_MICROS) {
            // A device in the network can lose track of a connection, which then stays open but carries no data, while
            // new connections to the companion work. So the link is replaced before the companion counts as dead.
            replaceLink(link, nowMicros);
            return;
        }
        if (nowMicros >= link.nextHeartbeatMicros) {
            sendHeartbeat(link, nowMicros);
        }
    }

    /**
     * Replaces a link on which no frame was received since an attempt was sent. Missing heartbeats reveal a dead
     * connection only after {@link #LINK_TIMEOUT_MICROS}, while the answer to an attempt is due much sooner.
     */
    void replaceIfUnresponsive(Address companion, long sentMicros, long nowMicros) {
        CompanionLink link = links.get(companion);
        if (link != null && link.isOpen() && link.lastFrameMicros < sentMicros) {
            replaceLink(link, nowMicros);
        }
    }

    private void replaceLink(CompanionLink link, long nowMicros) {
        outbox.logEvent("link_silent", "companion", link.address.toString());
        outbox.emit(new EntryEffect.CloseLink(link.address));
        onLinkLost(link, nowMicros);
    }

    private void tickOpening(CompanionLink link, long nowMicros) {
        if (nowMicros - link.stateSinceMicros >= OPEN_TIMEOUT_MICROS) {
            outbox.emit(new EntryEffect.CloseLink(link.address));
            onLinkLost(link, nowMicros);
        }
    }

    private void tickClosed(CompanionLink link, long nowMicros) {
        if (nowMicros >= link.nextOpenMicros) {
            open(link, nowMicros);
        }
    }

    private void sendHeartbeat(CompanionLink link, long nowMicros) {
        link.nextHeartbeatMicros = nowMicros + HEARTBEAT_INTERVAL_MICROS;
        link.heartbeatsSent++;
        outbox.send(
                link.address,
                new Frame.Heartbeat(settings.incarnation(), link.heartbeatsSent, List.of(), services.revisions(), 0));
    }

    private void open(CompanionLink link, long nowMicros) {
        link.enterState(CompanionLink.State.OPENING, nowMicros);
        outbox.emit(new EntryEffect.OpenLink(link.address));
    }

    /** Reopens a link that was open at once, and one that couldn't be opened after an increasing back-off. */
    private void onLinkLost(CompanionLink link, long nowMicros) {
        boolean wasOpen = link.isOpen();
        markTargetsUnavailable(link.address);
        link.enterState(CompanionLink.State.CLOSED, nowMicros);
        link.failures++;
        if (wasOpen) {
            listener.onLinkLost(link.address, nowMicros);
        } else {
            listener.onLinkFailed(link.address, nowMicros);
        }
        if (wasOpen && link.failures == 1) {
            open(link, nowMicros);
            return;
        }
        link.nextOpenMicros = nowMicros + backoffMicros(link.failures);
    }

    /** Returns an exponential back-off with jitter, so that entries don't all reconnect to a companion at once. */
    private long backoffMicros(int failures) {
        int doublings = Math.min(failures - 1, Long.SIZE / 4);
        long max = Math.min(MAX_BACKOFF_MICROS, INITIAL_BACKOFF_MICROS << doublings);
        return max / 2 + random.nextLong(max / 2 + 1);
    }

    private void markTargetsUnavailable(Address companion) {
        services.targetsOf(companion).forEach(RoutableTarget::markUnavailable);
    }

    private static Optional<Frame.TargetState> reportOf(Frame.Heartbeat heartbeat, RoutableTarget target) {
        return heartbeat.targets().stream()
                .filter(state -> state.target().equals(target.name()))
                .findFirst();
    }
}
