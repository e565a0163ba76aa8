package org.rattanrudder.daemon.entry;

import io.netty.channel.EventLoopGroup;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.rattanrudder.core.entry.EntryEffect;
import org.rattanrudder.core.entry.EntryEvent;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.daemon.logging.EventLog;
import org.rattanrudder.daemon.loop.StateMachineLoop;
import org.rattanrudder.wire.link.Link;
import org.rattanrudder.wire.link.LinkClient;
import org.rattanrudder.wire.link.LinkListener;
import org.rattanrudder.wire.link.LinkSettings;
import org.rattanrudder.wire.link.LinkTraffic;

/** The entry's links to companions. The map belongs to the handler thread. */
final class CompanionLinks implements LinkListener {
    private final Map<Address, Link> links = new HashMap<>();
    private final StateMachineLoop<EntryEvent, EntryEffect> loop;
    private final LinkClient client;
    private final EventLog log;
    private final Set<Link> up = ConcurrentHashMap.newKeySet();
    private final LinkTraffic traffic = new LinkTraffic();

    CompanionLinks(
            EventLoopGroup group, Frame.Hello hello, StateMachineLoop<EntryEvent, EntryEffect> loop, EventLog log) {
        this.loop = loop;
        this.log = log;
        this.client = new LinkClient(group, hello, LinkSettings.DEFAULT, traffic, this);
    }

    void open(Address companion) {
        close(companion);
        links.put(companion, client.open(companion));
    }

    void close(Address companion) {
        Link link = links.remove(companion);
        if (link != null) {
            link.close();
            up.remove(link);
        }
    }

    void send(Address companion, Frame frame) {
        Link link = links.get(companion);
        if (link != null) {
            link.send(frame);
        }
    }

    /** Returns how many links are up. */
    int count() {
        return up.size();
    }

    long sentBytes() {
        return traffic.sentBytes();
    }

    long receivedBytes() {
        return traffic.receivedBytes();
    }

    @Override
    public void opened(Link link, Frame.Hello hello) {
        up.add(link);
        publish(link, new EntryEvent.LinkOpened(link.peer(), hello));
    }

    @Override
    public void arrived(Link link, Frame frame) {
        publish(link, new EntryEvent.FrameArrived(link.peer(), frame));
    }

    @Override
    public void closed(Link link, String reason) {
        up.remove(link);
        log.info("link_closed", "companion", link.peer().toString(), "reason", reason);
        publish(link, new EntryEvent.LinkClosed(link.peer()));
    }

    /** Events of a link that was replaced while they waited in the ring must not pass for its successor's. */
    private void publish(Link link, EntryEvent event) {
        loop.publish(event, () -> !link.isReleased());
    }
}
