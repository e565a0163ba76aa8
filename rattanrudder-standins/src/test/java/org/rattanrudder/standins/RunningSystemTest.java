package org.rattanrudder.standins;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.rattanrudder.standins.deployment.StandInSizes;

class RunningSystemTest {
    private static final Pattern LINK = Pattern.compile("\"link\": \"127\\.0\\.0\\.1:(\\d+)\"");

    private ServerSocket taken;

    @AfterEach
    void release() throws IOException {
        if (taken != null) {
            taken.close();
        }
    }

    @Test
    void aProcessThatCannotStartIsNamedWithItsReason() {
        // A run of the tests ended with "not within 60 s: entry sees every target" and nothing else. A companion's port
        // had been found free and was taken by another socket before the companion listened on it; the companion ended
        // at once and said why, in a log that nobody read.
        assertThatThrownBy(() -> RunningSystem.start(StandInSizes.SMALL, this::takeFirstLink, "fuel-ledger"))
                .hasMessageContaining("companion-")
                .hasMessageContaining("ended with exit code")
                .hasMessageContaining("in use");
    }

    private String takeFirstLink(String settings) {
        Matcher link = LINK.matcher(settings);
        if (taken == null && link.find()) {
            try {
                taken = new ServerSocket(Integer.parseInt(link.group(1)), 1, InetAddress.getLoopbackAddress());
            } catch (IOException notFree) {
                throw new UncheckedIOException(notFree);
            }
        }
        return settings;
    }
}
