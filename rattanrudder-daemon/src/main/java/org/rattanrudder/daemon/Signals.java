package org.rattanrudder.daemon;

import java.util.List;
import org.jboss.logging.Logger;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** The signals that operators send to the daemon; each is logged before anything follows from it. */
final class Signals {
    private static final Logger LOG = Logger.getLogger(Signals.class);
    private static final List<String> NAMES = List.of("TERM", "INT", "HUP");

    private Signals() {}

    /** Logs each signal and leaves what follows to the virtual machine. */
    static void install() {
        NAMES.forEach(name -> {
            Logged logged = new Logged();
            logged.before = Signal.handle(new Signal(name), logged);
        });
    }

    /** Logs a signal, then does what was done before. */
    private static final class Logged implements SignalHandler {
        private volatile SignalHandler before = SignalHandler.SIG_DFL;

        @Override
        public void handle(Signal received) {
            LOG.infof("event=signalled signal=%s", received.getName());
            before.handle(received);
        }
    }
}
