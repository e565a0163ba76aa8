package org.rattanrudder.daemon;

import java.util.List;
import org.jboss.logging.Logger;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Handles the signals that operators send to the daemon; each is logged before it takes effect.
 *
 * <p>By default the JVM shuts down on SIGHUP, as it does on SIGTERM: a process notified of changed settings would
 * drain, abort requests that run longer than the grace period, and be unavailable until it is started again.
 */
final class Signals {
    private static final Signal SETTINGS_CHANGED = new Signal("HUP");
    private static final List<Signal> STOP = List.of(new Signal("TERM"), new Signal("INT"));

    private Signals() {}

    /** Ignores SIGHUP; must be called first. A starting process reads its settings anyway. */
    static void ignoreSettingsChanged() {
        // Not SIG_IGN: the JVM installs no other handler for a signal that is ignored, as it is under nohup.
        Signal.handle(SETTINGS_CHANGED, received -> {});
    }

    /** Logs each signal from now on; on SIGTERM and SIGINT the JVM then shuts down as it does by default. */
    static void install(Runnable settingsChanged) {
        Signal.handle(SETTINGS_CHANGED, received -> {
            log(received);
            settingsChanged.run();
        });
        STOP.forEach(signal -> {
            LoggingHandler handler = new LoggingHandler();
            handler.previous = Signal.handle(signal, handler);
        });
    }

    private static void log(Signal received) {
        Logger.getLogger(Signals.class).infof("event=signalled signal=%s", received.getName());
    }

    /** Logs a signal, then calls the previous handler. */
    private static final class LoggingHandler implements SignalHandler {
        private volatile SignalHandler previous = SignalHandler.SIG_DFL;

        @Override
        public void handle(Signal received) {
            log(received);
            previous.handle(received);
        }
    }
}
