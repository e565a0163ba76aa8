package org.rattanrudder.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.jboss.logging.Logger;
import org.rattanrudder.daemon.companion.CompanionProcess;
import org.rattanrudder.daemon.entry.EntryProcess;
import org.rattanrudder.daemon.logging.Logging;
import org.rattanrudder.daemon.loop.RunningProcess;
import org.rattanrudder.document.ParseResult;
import org.rattanrudder.document.ProcessSettings;
import org.rattanrudder.document.ProcessSettingsParser;

/**
 * The daemon: {@code rattanrudderd [--role entry|companion] --settings FILE}.
 *
 * <p>On SIGHUP the settings are reloaded. Exit codes: 0 if all running work finished after SIGTERM, 1 if some of it was
 * aborted or the process couldn't start, 2 for invalid usage or settings.
 */
public final class Rattanrudderd {
    /** The release, as sent in the hello of a link. */
    public static final String RELEASE = "0.1.0";

    private static final int FAILED = 1;
    private static final int INVALID_USAGE = 2;

    private Rattanrudderd() {}

    /** Runs the daemon until a signal stops it. */
    public static void main(String[] arguments) {
        Signals.ignoreSettingsChanged();
        Logging.install();
        if (RelayStart.isRequested(arguments)) {
            run(log -> RelayStart.start(System.err));
            return;
        }
        Optional<SettingsFile> file = settings(arguments, System.err);
        if (file.isEmpty()) {
            System.exit(INVALID_USAGE);
        }
        run(log -> {
            ProcessSettings settings = file.get().settings();
            RunningProcess process = start(settings);
            log.infof(
                    "event=started instance=%s role=%s http=%s release=%s",
                    settings.instance(), settings.role().name().toLowerCase(Locale.ROOT), process.http(), RELEASE);
            // Entries and companions apply their settings only at the start; later changes are only logged.
            return new Started(
                    process,
                    new SettingsWatch(
                            file.get().path(),
                            file.get().text(),
                            Set.of(),
                            text -> ParseResult.problems(new ProcessSettingsParser().parse(text))));
        });
    }

    /** Starts a process; returns null if its settings are invalid. */
    private interface Start {
        Started start(Logger log) throws IOException;
    }

    /**
     * A running process.
     *
     * @param process the process
     * @param settings watches its settings file
     */
    record Started(RunningProcess process, SettingsWatch settings) {}

    /** A parsed settings file. */
    private record SettingsFile(Path path, String text, ProcessSettings settings) {}

    /**
     * Runs a process until a signal stops it. The signal handlers are installed before the start: the process accepts
     * requests before the start has returned, and if it is stopped then, it still has to finish them.
     */
    private static void run(Start start) {
        Logger log = Logger.getLogger(Rattanrudderd.class);
        CompletableFuture<Optional<Started>> starting = new CompletableFuture<>();
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> starting.join().ifPresent(started -> stop(started, log)), "stop"));
        Signals.install(() -> starting.thenAccept(
                started -> started.ifPresent(runs -> runs.settings().reloadNow())));
        int failure = FAILED;
        try {
            Started started = start.start(log);
            if (started != null) {
                started.settings().start();
                starting.complete(Optional.of(started));
                Thread.currentThread().join();
            }
            failure = INVALID_USAGE;
        } catch (IOException failed) {
            System.err.println("rattanrudderd: " + failed.getMessage());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            starting.complete(Optional.empty());
        }
        System.exit(failure);
    }

    private static RunningProcess start(ProcessSettings settings) throws IOException {
        long incarnation = incarnation();
        return switch (settings.role()) {
            case ENTRY -> new EntryProcess(settings, incarnation, RELEASE);
            case COMPANION -> new CompanionProcess(settings, incarnation, RELEASE);
        };
    }

    /** Random, since no state of an earlier start is kept that could be incremented; never 0, which means none. */
    private static long incarnation() {
        SecureRandom random = new SecureRandom();
        long incarnation = 0;
        while (incarnation == 0) {
            incarnation = random.nextLong();
        }
        return incarnation;
    }

    private static void stop(Started started, Logger log) {
        RunningProcess process = started.process();
        boolean finished = false;
        try {
            log.info("event=draining");
            finished = process.drain();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        process.close();
        started.settings().close();
        log.infof("event=stopped finished=%s", finished);
        // Otherwise the JVM would exit with the signal's status, as if the process had been killed.
        Logging.flush();
        Runtime.getRuntime().halt(finished ? 0 : FAILED);
    }

    private static Optional<SettingsFile> settings(String[] arguments, PrintStream errors) {
        OptionParser parser = new OptionParser();
        OptionSpec<String> role = parser.accepts("role", "entry or companion; must agree with the settings")
                .withRequiredArg();
        OptionSpec<String> file = parser.accepts("settings", "the settings of this process, JSON with comments")
                .withRequiredArg()
                .required();
        try {
            OptionSet options = parser.parse(arguments);
            return read(Path.of(options.valueOf(file)), Optional.ofNullable(options.valueOf(role)), errors);
        } catch (OptionException invalid) {
            errors.println("rattanrudderd: " + invalid.getMessage());
            errors.println("usage: rattanrudderd [--role entry|companion] --settings FILE");
            return Optional.empty();
        } catch (IOException unreadable) {
            errors.println("rattanrudderd: can't read " + unreadable.getMessage());
            return Optional.empty();
        }
    }

    private static Optional<SettingsFile> read(Path file, Optional<String> role, PrintStream errors)
            throws IOException {
        String text = Files.readString(file);
        ParseResult<ProcessSettings> result = new ProcessSettingsParser().parse(text);
        if (result instanceof ParseResult.Rejected<ProcessSettings> rejected) {
            List<String> lines = rejected.problems().stream()
                    .map(problem -> problem.in(file.toString()))
                    .toList();
            lines.forEach(errors::println);
            return Optional.empty();
        }
        ProcessSettings settings = ((ParseResult.Accepted<ProcessSettings>) result).value();
        if (role.filter(given -> !given.equalsIgnoreCase(settings.role().name()))
                .isPresent()) {
            errors.println("rattanrudderd: --role " + role.get() + ", but the settings say "
                    + settings.role().name().toLowerCase(Locale.ROOT));
            return Optional.empty();
        }
        return Optional.of(new SettingsFile(file, text, settings));
    }
}
