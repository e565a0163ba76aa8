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

/**
 * Keeps a link to every companion that the documents name and knows which of them live, by heartbeat and incarnation.
 */
final class Membership {
    /** How often an entry sends a heartbeat, in microseconds. */
    static final long HEARTBEAT_MICROS = 1_000_000;

    /** After how long without a frame a link counts as silent, in microseconds. */
    static final long SILENT_MICROS = 2_000_000;

    private static final long OPENING_MICROS = 2_000_000;
    private static final long FIRST_BACKOFF_MICROS = 100_000;
    private static final long LONGEST_BACKOFF_MICROS = 2_000_000;

    private final EntrySettings settings;
    private final ServiceTable services;
    private final Outbox outbox;
    private final RandomGenerator random;
    private final LinkListener listener;
    private final Map<Address, CompanionLink> links = new LinkedHashMap<>();
    private final CustomerUsage usage = new CustomerUsage();
    private Set<Address> wanted = Set.of();

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

    /** Returns what all entries let pass of the customers' rates. */
    CustomerUsage usage() {
        return usage;
    }

    /** Returns how many entries share the customers' rates: the most that any companion with fresh news hears. */
    int entries(long nowMicros) {
        int most = 1;
        for (CompanionLink link : links.values()) {
            if (link.heartbeat != null && nowMicros - link.heartbeatMicros < RoutableTarget.MAX_REPORT_AGE_MICROS) {
                most = Math.max(most, link.heartbeat.entries());
            }
        }
        return most;
    }

    /** Opens links to companions that the documents now name; links to others close when nothing runs on them. */
    void follow(Set<Address> companions, long nowMicros) {
        wanted = Set.copyOf(companions);
        for (Address companion : companions) {
            if (!links.containsKey(companion)) {
                CompanionLink link = new CompanionLink(companion);
                links.put(companion, link);
                open(link, nowMicros);
            }
        }
    }

    void opened(Address companion, Frame.Hello hello, long nowMicros) {
        CompanionLink link = links.get(companion);
        if (link == null) {
            outbox.emit(new EntryEffect.CloseLink(companion));
            return;
        }
        if (link.incarnation() != hello.incarnation()) {
            link.leaving = false;
            link.heartbeat = null;
            targetsRefuseWork(companion);
        }
        link.enter(CompanionLink.State.OPEN, nowMicros);
        link.hello = hello;
        link.heardMicros = nowMicros;
        link.heartbeatsSent = 0;
        sendHeartbeat(link, nowMicros);
        outbox.note(
                "companion_linked",
                "companion",
                companion.toString(),
                "instance",
                hello.instance().value());
        listener.linkOpened(link, nowMicros);
    }

    void closed(Address companion, long nowMicros) {
        CompanionLink link = links.get(companion);
        if (link == null || link.state == CompanionLink.State.CLOSED) {
            return;
        }
        lost(link, nowMicros);
    }

    /** Notes that a frame was heard on the link; false if the link isn't up, so that the frame is to be dropped. */
    boolean heard(Address companion, long nowMicros) {
        CompanionLink link = links.get(companion);
        if (link == null || !link.isOpen()) {
            return false;
        }
        link.heardMicros = nowMicros;
        return true;
    }

    void heartbeat(Address companion, Frame.Heartbeat heartbeat, long nowMicros) {
        CompanionLink link = links.get(companion);
        if (heartbeat.incarnation() != link.incarnation()) {
            // A restarted companion whose listener took over the connection would speak for attempts that it never
            // had: only a hello may change the incarnation, so the link starts anew.
            outbox.emit(new EntryEffect.CloseLink(companion));
            lost(link, nowMicros);
            return;
        }
        link.failures = 0;
        link.heartbeat = heartbeat;
        link.heartbeatMicros = nowMicros;
        usage.heard(companion, heartbeat, nowMicros);
        for (RoutableTarget target : services.targetsBehind(companion)) {
            reportOf(heartbeat, target)
                    .filter(state -> !link.leaving)
                    .ifPresentOrElse(state -> target.applyReport(state, nowMicros), target::markUnavailable);
        }
    }

    /** The companion leaves: it gets no new work until another incarnation says hello. */
    void leaving(Address companion) {
        link(companion).ifPresent(link -> link.leaving = true);
        targetsRefuseWork(companion);
    }

    /**
     * Takes the platform's lagging list as a hint: a live target is worth another try of its companion at once, and one
     * that leaves is taken only when no other is there. Whether a target takes work, only its companion says.
     */
    void listed(List<EntryEvent.ListedInstance> instances, long nowMicros) {
        Map<Address, Boolean> leaving = new HashMap<>();
        instances.forEach(instance -> leaving.put(instance.address(), instance.leaving()));
        for (ServedService service : services.all()) {
            for (RoutableTarget target : service.pool().targets()) {
                Boolean known = leaving.get(target.settings().address());
                target.setListedLeaving(Boolean.TRUE.equals(known));
                if (Boolean.FALSE.equals(known)) {
                    tryAgain(target.companion(), nowMicros);
                }
            }
        }
    }

    private void tryAgain(Address companion, long nowMicros) {
        CompanionLink link = links.get(companion);
        if (link != null && link.state == CompanionLink.State.CLOSED) {
            link.nextOpenMicros = Math.min(link.nextOpenMicros, nowMicros + random.nextLong(FIRST_BACKOFF_MICROS));
        }
    }

    /** Sends heartbeats, finds silent links and opens those whose time has come. */
    void tick(long nowMicros) {
        for (CompanionLink link : List.copyOf(links.values())) {
            if (!wanted.contains(link.address) && !listener.uses(link.address)) {
                links.remove(link.address);
                usage.forget(link.address);
                outbox.emit(new EntryEffect.CloseLink(link.address));
                continue;
            }
            switch (link.state) {
                case OPEN -> tickOpen(link, nowMicros);
                case OPENING -> tickOpening(link, nowMicros);
                case CLOSED -> tickClosed(link, nowMicros);
                default -> throw new IllegalStateException("no such state of a link: " + link.state);
            }
        }
    }

    private void tickOpen(CompanionLink link, long nowMicros) {
        if (nowMicros - link.heardMicros >= SILENT_MICROS) {
            // Something between the two ends can lose track of a connection: it stays open, carries nothing for good,
            // and the companion looks dead while new connections to it work. So a silent link is replaced first.
            replace(link, nowMicros);
            return;
        }
        if (nowMicros >= link.nextHeartbeatMicros) {
            sendHeartbeat(link, nowMicros);
        }
    }

    /**
     * Replaces a link on which nothing was heard since an attempt was sent. A connection that went silent for good
     * shows by its heartbeats only after {@link #SILENT_MICROS}; the answer to an attempt is due much sooner.
     */
    void suspect(Address companion, long sentMicros, long nowMicros) {
        CompanionLink link = links.get(companion);
        if (link != null && link.isOpen() && link.heardMicros < sentMicros) {
            replace(link, nowMicros);
        }
    }

    private void replace(CompanionLink link, long nowMicros) {
        outbox.note("link_silent", "companion", link.address.toString());
        outbox.emit(new EntryEffect.CloseLink(link.address));
        lost(link, nowMicros);
    }

    private void tickOpening(CompanionLink link, long nowMicros) {
        if (nowMicros - link.sinceMicros >= OPENING_MICROS) {
            outbox.emit(new EntryEffect.CloseLink(link.address));
            lost(link, nowMicros);
        }
    }

    private void tickClosed(CompanionLink link, long nowMicros) {
        if (nowMicros >= link.nextOpenMicros) {
            open(link, nowMicros);
        }
    }

    private void sendHeartbeat(CompanionLink link, long nowMicros) {
        link.nextHeartbeatMicros = nowMicros + HEARTBEAT_MICROS;
        link.heartbeatsSent++;
        outbox.send(
                link.address,
                new Frame.Heartbeat(settings.incarnation(), link.heartbeatsSent, List.of(), services.revisions(), 0));
    }

    private void open(CompanionLink link, long nowMicros) {
        link.enter(CompanionLink.State.OPENING, nowMicros);
        outbox.emit(new EntryEffect.OpenLink(link.address));
    }

    /** A link that was up is opened again at once; one that couldn't be opened waits longer each time. */
    private void lost(CompanionLink link, long nowMicros) {
        boolean wasOpen = link.isOpen();
        targetsRefuseWork(link.address);
        link.enter(CompanionLink.State.CLOSED, nowMicros);
        link.failures++;
        if (wasOpen) {
            listener.linkBroke(link.address, nowMicros);
        } else {
            listener.linkFailed(link.address, nowMicros);
        }
        if (wasOpen && link.failures == 1) {
            open(link, nowMicros);
            return;
        }
        link.nextOpenMicros = nowMicros + backoffMicros(link.failures);
    }

    /** Jittered, so that the entries don't all come back to a restarted companion in the same moment. */
    private long backoffMicros(int failures) {
        int doublings = Math.min(failures - 1, Long.SIZE / 4);
        long longest = Math.min(LONGEST_BACKOFF_MICROS, FIRST_BACKOFF_MICROS << doublings);
        return longest / 2 + random.nextLong(longest / 2 + 1);
    }

    private void targetsRefuseWork(Address companion) {
        services.targetsBehind(companion).forEach(RoutableTarget::markUnavailable);
    }

    private static Optional<Frame.TargetState> reportOf(Frame.Heartbeat heartbeat, RoutableTarget target) {
        return heartbeat.targets().stream()
                .filter(state -> state.target().equals(target.name()))
                .findFirst();
    }
}
