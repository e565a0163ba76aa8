package org.rattanrudder.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.net.ConnectException;
import java.net.SocketException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.quarantine.RequestFingerprint;

/** A target that has ended looked alive while its process was still closing what it had open. */
class CrashWatchTest {
    private static final RequestFingerprint REQUEST = new RequestFingerprint(1, 2);
    private static final long NOW = 1_000;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final Deque<Dial> dials = new ArrayDeque<>();
    private final List<Set<RequestFingerprint>> ends = new ArrayList<>();
    private final CrashDetector watch = new CrashDetector(channel.eventLoop());

    @BeforeEach
    void listen() {
        channel.freezeTime();
        watch.use((target, then) -> then.accept(dials.remove()), (target, requests) -> ends.add(requests));
    }

    @Test
    void aTargetThatRefusesHasEnded() {
        dials.add(failed(new ConnectException("Connection refused")));

        assertThat(endsAfterABreak()).containsExactly(Set.of(REQUEST));
    }

    @Test
    void aDialThatIsResetWhileItOpensIsRepeated() {
        dials.add(failed(new SocketException("Connection reset by peer")));
        dials.add(failed(new ConnectException("Connection refused")));

        assertThat(endsAfterABreak()).containsExactly(Set.of(REQUEST));
    }

    @Test
    void aConnectionThatDoesNotLastIsRepeated() {
        dials.add(closed());
        dials.add(failed(new ConnectException("Connection refused")));

        assertThat(endsAfterABreak()).containsExactly(Set.of(REQUEST));
    }

    @Test
    void aConnectionThatLastsProvesThatTheTargetLives() {
        dials.add(Dial.of(new EmbeddedChannel().newSucceededFuture()));

        assertThat(endsAfterABreak()).isEmpty();
    }

    @Test
    void aTargetThatResetsEachDialLives() {
        for (int dial = 0; dial < CrashDetector.MOST_DIALS; dial++) {
            dials.add(failed(new SocketException("Connection reset by peer")));
        }

        assertThat(endsAfterABreak()).isEmpty();
        assertThat(dials).isEmpty();
    }

    private List<Set<RequestFingerprint>> endsAfterABreak() {
        watch.broken(KnownTargets.target("i-1", Map.of(), NOW), REQUEST);
        for (int step = 0; step < CrashDetector.MOST_DIALS + 1; step++) {
            channel.advanceTimeBy(CrashDetector.LASTING_MILLIS, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
        }
        return ends;
    }

    private static Dial failed(Exception failure) {
        EmbeddedChannel dialled = new EmbeddedChannel();
        dialled.close();
        return Dial.of(dialled.newFailedFuture(failure));
    }

    private static Dial closed() {
        EmbeddedChannel dialled = new EmbeddedChannel();
        dialled.close();
        return Dial.of(dialled.newSucceededFuture());
    }
}
