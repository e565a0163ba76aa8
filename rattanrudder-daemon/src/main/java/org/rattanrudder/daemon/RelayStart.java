package org.rattanrudder.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.rattanrudder.daemon.relay.RelayProcess;
import org.rattanrudder.daemon.relay.port.PlatformAdapter;
import org.rattanrudder.document.ParseResult;
import org.rattanrudder.document.RelaySettings;
import org.rattanrudder.document.RelaySettingsParser;

/** Starts a relay: {@code rattanrudderd --role relay}; an environment variable has the path of its settings file. */
final class RelayStart {
    /** The environment variable with the path of the settings. */
    static final String SETTINGS_VARIABLE = "RATTANRUDDER_CONFIG";

    private RelayStart() {}

    /** Returns whether the command line requests a relay. */
    static boolean isRequested(String[] arguments) {
        return Arrays.equals(arguments, new String[] {"--role", "relay"});
    }

    /** Starts the relay; returns null if its settings are invalid or there is no adapter, with errors on the stream. */
    static Rattanrudderd.Started start(PrintStream errors) throws IOException {
        Optional<Settings> settings = settings(System.getenv(SETTINGS_VARIABLE), errors);
        Optional<PlatformAdapter> adapter =
                ServiceLoader.load(PlatformAdapter.class).findFirst();
        if (adapter.isEmpty()) {
            errors.println("rattanrudderd: no platform adapter on the class path");
        }
        if (settings.isEmpty() || adapter.isEmpty()) {
            return null;
        }
        RelaySettings started = settings.get().settings();
        RelayProcess relay = new RelayProcess(started, adapter.get(), RandomGenerator.getDefault());
        Logger.getLogger(RelayStart.class)
                .infof(
                        "event=started instance=%s role=relay http=%s release=%s",
                        started.instance(), relay.http(), Rattanrudderd.RELEASE);
        return new Rattanrudderd.Started(
                relay,
                new SettingsWatch(
                        settings.get().file(),
                        settings.get().text(),
                        RelaySettings.CHANGEABLE,
                        text -> reload(relay, text)));
    }

    private static List<String> reload(RelayProcess relay, String text) {
        ParseResult<RelaySettings> result = new RelaySettingsParser().parse(text);
        if (result instanceof ParseResult.Accepted<RelaySettings> accepted) {
            relay.applySettings(accepted.value());
        }
        return ParseResult.problems(result);
    }

    /** A parsed settings file. */
    record Settings(Path file, String text, RelaySettings settings) {}

    static Optional<Settings> settings(String file, PrintStream errors) throws IOException {
        if (file == null) {
            errors.println("rattanrudderd: the variable " + SETTINGS_VARIABLE + " must name the settings file");
            return Optional.empty();
        }
        Path path = Path.of(file);
        String text;
        try {
            text = Files.readString(path);
        } catch (NoSuchFileException missing) {
            errors.println("rattanrudderd: " + file + ": no such file");
            return Optional.empty();
        }
        ParseResult<RelaySettings> result = new RelaySettingsParser().parse(text);
        if (result instanceof ParseResult.Rejected<RelaySettings> rejected) {
            rejected.problems().forEach(problem -> errors.println(problem.in(file)));
            return Optional.empty();
        }
        return Optional.of(new Settings(path, text, ((ParseResult.Accepted<RelaySettings>) result).value()));
    }
}
