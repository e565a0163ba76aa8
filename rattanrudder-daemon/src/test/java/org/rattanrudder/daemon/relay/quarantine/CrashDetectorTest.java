package org.rattanrudder.daemon.relay.quarantine;

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
import org.rattanrudder.core.quarantine.Feature;
import org.rattanrudder.core.quarantine.RequestFingerprint;
import org.rattanrudder.core.quarantine.TargetCrash.SuspectRequest;
import org.rattanrudder.daemon.relay.targets.DialResult;
import org.rattanrudder.daemon.relay.targets.TestTargets;

/** A crashed target looked alive while its process was still closing its sockets. */
class CrashDetectorTest {
    private static final Set<Feature> REQUEST = Set.of(Feature.request(new RequestFingerprint(1, 2)));
    private static final long HELD = 30;
    private static final long NOW = 1_000;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final Deque<DialResult> dials = new ArrayDeque<>();
    private final List<CrashDetector.Broken> crashes = new ArrayList<>();
    private final List<CrashDetector.UnconfirmedCrash> unconfirmed = new ArrayList<>();
    private final CrashDetector detector = new CrashDetector(channel.eventLoop(), () -> NOW);

    @BeforeEach
    void listen() {
        channel.freezeTime();
        detector.setHandlers(
                (target, then) -> then.accept(dials.remove()),
                (target, broken) -> crashes.add(broken),
                (target, crash) -> unconfirmed.add(crash));
    }

    @Test
    void refusedDialMeansCrash() {
        dials.add(failed(new ConnectException("Connection refused")));

        assertThat(crashesAfterBrokenConnection()).containsExactly(crashOfRequest());
    }

    @Test
    void dialResetWhileOpeningIsRepeated() {
        dials.add(failed(new SocketException("Connection reset by peer")));
        dials.add(failed(new ConnectException("Connection refused")));

        assertThat(crashesAfterBrokenConnection()).containsExactly(crashOfRequest());
    }

    @Test
    void dialIsRepeatedIfConnectionIsClosedSoon() {
        dials.add(closed());
        dials.add(failed(new ConnectException("Connection refused")));

        assertThat(crashesAfterBrokenConnection()).containsExactly(crashOfRequest());
    }

    @Test
    void connectionThatStaysOpenMeansAlive() {
        dials.add(DialResult.of(new EmbeddedChannel().newSucceededFuture()));

        assertThat(crashesAfterBrokenConnection()).isEmpty();
        assertThat(unconfirmed).containsExactly(new CrashDetector.UnconfirmedCrash(DialResult.Outcome.OPENED, 1, 1));
    }

    @Test
    void targetThatResetsEveryDialIsAlive() {
        for (int dial = 0; dial < CrashDetector.MAX_DIALS; dial++) {
            dials.add(failed(new SocketException("Connection reset by peer")));
        }

        assertThat(crashesAfterBrokenConnection()).isEmpty();
        assertThat(dials).isEmpty();
        assertThat(unconfirmed)
                .containsExactly(
                        new CrashDetector.UnconfirmedCrash(DialResult.Outcome.BROKEN, CrashDetector.MAX_DIALS, 1));
    }

    private static CrashDetector.Broken crashOfRequest() {
        return new CrashDetector.Broken(NOW, List.of(new SuspectRequest(REQUEST, HELD)));
    }

    private List<CrashDetector.Broken> crashesAfterBrokenConnection() {
        detector.onConnectionBroken(TestTargets.target("i-1", Map.of(), NOW), REQUEST, HELD);
        for (int step = 0; step < CrashDetector.MAX_DIALS + 1; step++) {
            channel.advanceTimeBy(CrashDetector.MIN_OPEN_MILLIS, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
        }
        return crashes;
    }

    private static DialResult failed(Exception failure) {
        EmbeddedChannel dialled = new EmbeddedChannel();
        dialled.close();
        return DialResult.of(dialled.newFailedFuture(failure));
    }

    private static DialResult closed() {
        EmbeddedChannel dialled = new EmbeddedChannel();
        dialled.close();
        return DialResult.of(dialled.newSucceededFuture());
    }
}
