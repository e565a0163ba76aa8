package org.rattanrudder.command;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import joptsimple.OptionSet;
import org.rattanrudder.core.model.Address;

/** One run of a subcommand: what was given, and how to reach the world. */
final class Invocation {
    static final String ENTRIES_VARIABLE = "RATTANRUDDER_ENTRIES";
    static final String CREDENTIAL_VARIABLE = "RATTANRUDDER_CREDENTIAL";

    private final OptionSet options;
    private final Output output;
    private final World world;

    Invocation(OptionSet options, Output output, World world) {
        this.options = options;
        this.output = output;
        this.world = world;
    }

    /**
     * What the command reaches outside itself.
     *
     * @param exchange makes HTTP calls
     * @param environment environment variables
     * @param pause waits between two looks at the state of the system
     * @param input what is given on standard input
     */
    record World(Exchange exchange, Map<String, String> environment, Runnable pause, InputStream input) {}

    /** Returns the lines on standard input. */
    Stream<String> inputLines() {
        return new BufferedReader(new InputStreamReader(world.input(), StandardCharsets.UTF_8)).lines();
    }

    Output output() {
        return output;
    }

    Runnable pause() {
        return world.pause();
    }

    boolean has(String option) {
        return options.has(option);
    }

    Optional<String> option(String name) {
        return Optional.ofNullable((String) options.valueOf(name));
    }

    /** Returns all values of an option that may be given several times. */
    List<String> options(String name) {
        return options.valuesOf(name).stream().map(Object::toString).toList();
    }

    /** Returns an option that must be there. */
    String required(String name) throws CommandFailure {
        return option(name).orElseThrow(() -> new CommandFailure(ExitCode.USAGE, "--" + name + " is missing"));
    }

    /** Returns a whole number that must be there. */
    long requiredNumber(String name, long lowest) throws CommandFailure {
        return number(name, required(name), lowest);
    }

    long number(String name, String text, long lowest) throws CommandFailure {
        try {
            long value = Long.parseLong(text);
            if (value >= lowest) {
                return value;
            }
        } catch (NumberFormatException noNumber) {
            // Told below, together with numbers that are too small.
        }
        throw new CommandFailure(
                ExitCode.USAGE, "--" + name + ": expected a whole number from " + lowest + ", not \"" + text + "\"");
    }

    /** Returns the only argument. */
    String argument(String what) throws CommandFailure {
        List<?> arguments = options.nonOptionArguments();
        if (arguments.size() != 1) {
            throw new CommandFailure(ExitCode.USAGE, "expected one argument, " + what + ", not " + arguments.size());
        }
        return arguments.get(0).toString();
    }

    void noArguments() throws CommandFailure {
        if (!options.nonOptionArguments().isEmpty()) {
            throw new CommandFailure(
                    ExitCode.USAGE,
                    "unexpected argument \"" + options.nonOptionArguments().get(0) + "\"");
        }
    }

    static String readFile(String path) throws CommandFailure {
        try {
            return Files.readString(Path.of(path));
        } catch (CharacterCodingException notText) {
            throw new CommandFailure(ExitCode.USAGE, path + ": not a text in UTF-8");
        } catch (IOException unreadable) {
            throw new CommandFailure(ExitCode.USAGE, path + ": can't be read");
        }
    }

    static void writeFile(String path, String text) throws CommandFailure {
        try {
            Files.writeString(Path.of(path), text);
        } catch (IOException unwritable) {
            throw new CommandFailure(ExitCode.USAGE, path + ": can't be written");
        }
    }

    EntryClient client() throws CommandFailure {
        return new EntryClient(entries(), credential(), world.exchange());
    }

    private List<Address> entries() throws CommandFailure {
        List<String> given = new ArrayList<>();
        options.valuesOf("entry").forEach(value -> given.add(value.toString()));
        String variable = world.environment().getOrDefault(ENTRIES_VARIABLE, "");
        if (given.isEmpty() && !variable.isBlank()) {
            given.addAll(List.of(variable.split(",")));
        }
        if (given.isEmpty()) {
            throw new CommandFailure(
                    ExitCode.USAGE, "no entry is named: give --entry HOST:PORT or set " + ENTRIES_VARIABLE);
        }
        List<Address> addresses = new ArrayList<>();
        for (String text : given) {
            try {
                addresses.add(Address.parse(text.strip()));
            } catch (IllegalArgumentException noAddress) {
                throw new CommandFailure(ExitCode.USAGE, "--entry: " + noAddress.getMessage());
            }
        }
        return addresses;
    }

    private String credential() throws CommandFailure {
        Optional<String> file = option("credential-file");
        String credential =
                file.isPresent() ? readFile(file.get()) : world.environment().getOrDefault(CREDENTIAL_VARIABLE, "");
        if (credential.isBlank()) {
            throw new CommandFailure(
                    ExitCode.USAGE, "no credential is given: use --credential-file FILE or set " + CREDENTIAL_VARIABLE);
        }
        return credential.strip();
    }
}
