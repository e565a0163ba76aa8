package org.rattanrudder.daemon.logging;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Stream;

/** Configures JDK logging, the back end of JBoss Logging, to write one line per event to standard output. */
public final class Logging {
    private Logging() {}

    /** Replaces the log manager and the root logger's handlers; must be called before anything is logged. */
    public static void install() {
        // The class literal doesn't initialize the class: that would start the JDK's own manager before it reads this.
        System.setProperty("java.util.logging.manager", LastingLogManager.class.getName());
        Loggers.configure();
    }

    /** Writes the queued lines; must be called before the process halts without the JDK's shutdown. */
    public static void flush() {
        for (Handler handler : Loggers.ROOT.getHandlers()) {
            handler.flush();
        }
    }

    /** Initialized on first use, after the log manager has been chosen. */
    private static final class Loggers {
        private static final Logger ROOT = Logger.getLogger("");

        /**
         * Loggers of libraries that log each connection reset by a peer, which the daemon logs itself where it matters.
         * They are referenced here because the JDK holds loggers weakly and a collected logger loses its level.
         */
        // Not a method reference: for a caller-sensitive method, an invoker class would be generated at each start.
        private static final List<Logger> NOISY = Stream.of("io.undertow", "org.xnio", "io.netty", "org.jboss.threads")
                .map(name -> Logger.getLogger(name))
                .toList();

        static void configure() {
            for (Handler handler : ROOT.getHandlers()) {
                ROOT.removeHandler(handler);
            }
            Handler lines = new RingHandler(new FileOutputStream(FileDescriptor.out));
            lines.setLevel(Level.ALL);
            lines.setFormatter(new KeyValueFormatter());
            ROOT.addHandler(lines);
            ROOT.setLevel(Level.INFO);
            NOISY.forEach(logger -> logger.setLevel(Level.WARNING));
        }
    }
}
