package org.rattanrudder.standins.deployment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.SortedSet;
import java.util.function.UnaryOperator;

/**
 * Writes what a run on this machine needs into a directory: {@code standins.json}, {@code documents/} and
 * {@code settings/}, each file named after its service or process. Ports are those of the examples; if any is taken,
 * all are chosen anew.
 */
public final class Prepare {
    private Prepare() {}

    /**
     * Takes the directory of the examples and the directory to write to. For an experiment also {@code --scaled} and
     * the names of the services that take part: sizes of blocks and links are then scaled down to one machine.
     */
    public static void main(String[] arguments) throws IOException {
        boolean scaled = arguments.length > 3 && arguments[2].equals("--scaled");
        if (arguments.length != 2 && !scaled) {
            System.err.println("usage: Prepare EXAMPLES DIRECTORY [--scaled SERVICE...]");
            System.exit(2);
        }
        Path examples = Path.of(arguments[0]);
        List<String> texts = Layout.texts(examples);
        SortedSet<Integer> taken = Ports.taken(texts);
        if (!taken.isEmpty()) {
            System.err.println("taken on 127.0.0.1: " + taken + "; using free ports in place of the examples'");
        }
        Ports ports = taken.isEmpty() ? Ports.asWritten() : Ports.free(texts);
        Path directory = Path.of(arguments[1]);
        if (scaled) {
            String[] services = Arrays.copyOfRange(arguments, 3, arguments.length);
            write(Layout.read(examples, ports, Scale::apply).only(services), StandInSizes.EXPERIMENT, directory);
            return;
        }
        write(Layout.read(examples, ports, UnaryOperator.identity()), StandInSizes.SMALL, directory);
    }

    /** Writes the files of a layout. */
    static void write(Layout layout, StandInSizes sizes, Path directory) throws IOException {
        Path documents = Files.createDirectories(directory.resolve("documents"));
        Path settings = Files.createDirectories(directory.resolve("settings"));
        Files.writeString(directory.resolve("standins.json"), StandInPlan.of(layout, sizes));
        for (Layout.Document document : layout.documents()) {
            Files.writeString(documents.resolve(document.service() + ".json"), document.text());
        }
        for (Layout.Process process : layout.processes()) {
            Files.writeString(settings.resolve(process.name() + ".json"), process.text());
        }
    }
}
