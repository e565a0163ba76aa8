package org.rattanrudder.daemon.logging;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Stream;

/** Sets up JDK logging, which JBoss Logging writes to: one line an event on standard output. */
public final class Logging {
    private Logging() {}

    /** Replaces the log manager and the root logger's handlers; to be called before anything is logged. */
    public static void install() {
        // The name is a constant: touching the class here would start the JDK's own manager before this is read.
        System.setProperty("java.util.logging.manager", LastingLogManager.class.getName());
        Loggers.configure();
    }

    /** Writes what still waits; to be called before the process ends without the JDK's own shutdown. */
    public static void flush() {
        for (Handler handler : Loggers.ROOT.getHandlers()) {
            handler.flush();
        }
    }

    /** Begins with the first use, after the log manager is chosen. */
    private static final class Loggers {
        private static final Logger ROOT = Logger.getLogger("");

        /**
         * Libraries tell of each connection that a peer resets; our own lines say what matters of it. Kept here, since
         * the JDK forgets a logger's level as soon as nobody holds the logger.
         */
        private static final List<Logger> NOISY = Stream.of("io.undertow", "org.xnio", "io.netty", "org.jboss.threads")
                .map(Logger::getLogger)
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
