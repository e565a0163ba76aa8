package org.rattanrudder.standins.deployment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.rattanrudder.core.document.CustomerSettings;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.document.TargetSettings;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.document.ParseResult;
import org.rattanrudder.document.ProcessSettings;
import org.rattanrudder.document.ProcessSettings.Role;
import org.rattanrudder.document.ProcessSettingsParser;
import org.rattanrudder.document.ServiceDocumentParser;

/**
 * Documents and process settings of a deployment on this machine, read from a directory such as {@code examples/small}:
 * documents in it, settings in its {@code settings/}.
 *
 * @param documents the service documents
 * @param processes the settings of the processes
 */
public record Layout(List<Document> documents, List<Process> processes) {
    /** The operators' credential of the examples; see {@code examples/README.md}. */
    public static final String OPERATOR_CREDENTIAL = "example-operator";

    /** Copies the lists. */
    public Layout {
        documents = List.copyOf(documents);
        processes = List.copyOf(processes);
    }

    /**
     * A service document.
     *
     * @param text its text
     * @param content what it says
     */
    public record Document(String text, ServiceDocument content) {
        /** Returns the service's name. */
        public String service() {
            return content.service().value();
        }

        /** Returns the credential of the customer at that place among those that may use every class. */
        public String credential(int place) {
            List<CustomerSettings> unlimited = content.customers().stream()
                    .filter(customer -> customer.classes().isEmpty())
                    .toList();
            return "example-" + service() + "-" + unlimited.get(place).name().value();
        }
    }

    /**
     * The settings of one process.
     *
     * @param text their text
     * @param settings what they say
     */
    public record Process(String text, ProcessSettings settings) {
        /** Returns the process's name. */
        public String name() {
            return settings.instance().value();
        }
    }

    /** Reads the texts of a directory's documents and settings. */
    public static List<String> texts(Path directory) {
        List<String> texts = new ArrayList<>(files(directory));
        texts.addAll(files(directory.resolve("settings")));
        return texts;
    }

    /**
     * Reads a layout.
     *
     * @param directory the directory
     * @param ports the ports to use
     * @param edit changes each text before it is read
     */
    public static Layout read(Path directory, Ports ports, UnaryOperator<String> edit) {
        return of(directory, directory.resolve("settings"), text -> edit.apply(ports.apply(text)));
    }

    /** Reads a layout from a directory of documents and one of settings, changing each text before it is read. */
    public static Layout of(Path documentFiles, Path settingsFiles, UnaryOperator<String> edit) {
        List<Document> documents = files(documentFiles).stream()
                .map(edit)
                .map(text -> new Document(text, accepted(new ServiceDocumentParser().parse(text))))
                .toList();
        List<Process> processes = files(settingsFiles).stream()
                .map(edit)
                .map(text -> new Process(text, accepted(new ProcessSettingsParser().parse(text))))
                .toList();
        return new Layout(documents, processes);
    }

    /** Returns the settings of the entries. */
    public List<Process> entries() {
        return processes.stream()
                .filter(process -> process.settings().role() == Role.ENTRY)
                .toList();
    }

    /** Returns where the entries listen for callers. */
    public List<Address> entryAddresses() {
        return entries().stream().map(process -> process.settings().http()).toList();
    }

    /** Returns the document of a service. */
    public Document document(String service) {
        return documents.stream()
                .filter(document -> document.service().equals(service))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no document of " + service));
    }

    /** Returns the layout with only these services, the companions that their targets name, and their entries. */
    public Layout only(String... services) {
        List<Document> kept = documents.stream()
                .filter(document -> List.of(services).contains(document.service()))
                .toList();
        List<Address> links = kept.stream()
                .flatMap(document -> document.content().targets().stream())
                .map(TargetSettings::companion)
                .toList();
        List<Process> companions = processes.stream()
                .filter(process ->
                        process.settings().link().filter(links::contains).isPresent())
                .toList();
        List<Process> left = new ArrayList<>(companions);
        // Entries of another deployment stand on another platform.
        entries().stream()
                .filter(entry -> entry.settings()
                        .platform()
                        .equals(companions.get(0).settings().platform()))
                .forEach(left::add);
        return new Layout(kept, left);
    }

    private static List<String> files(Path directory) {
        try (Stream<Path> files = Files.list(directory)) {
            List<String> texts = new ArrayList<>();
            for (Path file : files.filter(path -> path.toString().endsWith(".json"))
                    .sorted()
                    .toList()) {
                texts.add(Files.readString(file));
            }
            return texts;
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }

    private static <T> T accepted(ParseResult<T> result) {
        if (result instanceof ParseResult.Rejected<T> rejected) {
            throw new IllegalArgumentException(rejected.problems().toString());
        }
        return ((ParseResult.Accepted<T>) result).value();
    }
}
