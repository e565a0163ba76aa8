package org.rattanrudder.daemon;

import java.util.List;
import org.jboss.logging.Logger;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * The signals that operators send to the daemon; each is logged before anything follows from it.
 *
 * <p>The virtual machine takes SIGHUP for a request to stop, as it takes SIGTERM: a process that is told that its
 * settings have changed would drain, cut off what runs longer than its grace, and be away until it is started again.
 */
final class Signals {
    private static final Signal SETTINGS_CHANGED = new Signal("HUP");
    private static final List<Signal> STOP = List.of(new Signal("TERM"), new Signal("INT"));

    private Signals() {}

    /** Takes no notice of changed settings; to be called first, since a process that starts reads them anyway. */
    static void ignoreSettingsChanged() {
        // Not SIG_IGN: the virtual machine never gives back a signal that is ignored, as it is under nohup.
        Signal.handle(SETTINGS_CHANGED, received -> {});
    }

    /** Logs each signal from now on; on a request to stop the virtual machine ends as it would without this. */
    static void install(Runnable settingsChanged) {
        Signal.handle(SETTINGS_CHANGED, received -> {
            log(received);
            settingsChanged.run();
        });
        STOP.forEach(signal -> {
            Logged logged = new Logged();
            logged.before = Signal.handle(signal, logged);
        });
    }

    private static void log(Signal received) {
        Logger.getLogger(Signals.class).infof("event=signalled signal=%s", received.getName());
    }

    /** Logs a signal, then does what was done before. */
    private static final class Logged implements SignalHandler {
        private volatile SignalHandler before = SignalHandler.SIG_DFL;

        @Override
        public void handle(Signal received) {
            log(received);
            before.handle(received);
        }
    }
}
