package org.rattanrudder.daemon.companion;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.rattanrudder.core.companion.CompanionEffect;
import org.rattanrudder.core.companion.CompanionEvent;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.daemon.logging.EventLog;
import org.rattanrudder.daemon.loop.StateMachineLoop;
import org.rattanrudder.wire.link.Link;
import org.rattanrudder.wire.link.LinkListener;
import org.rattanrudder.wire.link.LinkTraffic;

/** The links that entries have opened, each with a number of its own. */
final class EntryLinks implements LinkListener {
    private final Map<Long, Link> byNumber = new ConcurrentHashMap<>();
    private final Map<Link, Long> numbers = new ConcurrentHashMap<>();
    private final AtomicLong lastNumber = new AtomicLong();
    private final StateMachineLoop<CompanionEvent, CompanionEffect> loop;
    private final EventLog log;
    private final LinkTraffic traffic = new LinkTraffic();

    EntryLinks(StateMachineLoop<CompanionEvent, CompanionEffect> loop, EventLog log) {
        this.loop = loop;
        this.log = log;
    }

    void send(long number, Frame frame) {
        Link link = byNumber.get(number);
        if (link != null) {
            link.send(frame);
        }
    }

    void close(long number) {
        Link link = byNumber.remove(number);
        if (link != null) {
            numbers.remove(link);
            link.close();
        }
    }

    /** Returns whether frames still wait to be sent. */
    boolean hasPending() {
        return byNumber.values().stream().anyMatch(link -> link.pendingBytes() > 0);
    }

    int count() {
        return byNumber.size();
    }

    LinkTraffic traffic() {
        return traffic;
    }

    long sentBytes() {
        return traffic.sentBytes();
    }

    long receivedBytes() {
        return traffic.receivedBytes();
    }

    @Override
    public void opened(Link link, Frame.Hello hello) {
        long number = lastNumber.incrementAndGet();
        byNumber.put(number, link);
        numbers.put(link, number);
        publish(link, new CompanionEvent.LinkOpened(number, hello));
    }

    @Override
    public void arrived(Link link, Frame frame) {
        Long number = numbers.get(link);
        if (number != null) {
            publish(link, new CompanionEvent.FrameArrived(number, frame));
        }
    }

    @Override
    public void closed(Link link, String reason) {
        log.info("link_closed", "peer", link.peer().toString(), "reason", reason);
        Long number = numbers.remove(link);
        if (number != null) {
            byNumber.remove(number);
            publish(link, new CompanionEvent.LinkClosed(number));
        }
    }

    private void publish(Link link, CompanionEvent event) {
        loop.publish(event, () -> !link.isReleased());
    }
}
