package org.rattanrudder.standins.deployment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Locale;
import java.util.function.UnaryOperator;
import org.rattanrudder.core.document.TargetSettings;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.standins.load.CallerClient;

/** Publishes the documents of a run that {@link Prepare} wrote, waits until all is ready, and tries the main job. */
public final class Quickstart {
    private Quickstart() {}

    /** Takes the directory that was prepared, and {@code --once} to run the main job. */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        boolean once = arguments.length == 2 && arguments[1].equals("--once");
        if (arguments.length != 1 && !once) {
            System.err.println("usage: Quickstart DIRECTORY [--once]");
            System.exit(2);
        }
        Path directory = Path.of(arguments[0]);
        Layout layout =
                Layout.of(directory.resolve("documents"), directory.resolve("settings"), UnaryOperator.identity());
        new Readiness(layout, new CallerClient()).publishAndWait();
        writeAddresses(layout, directory);
        if (!once) {
            printAddresses(layout, directory);
            return;
        }
        ObjectNode report = new MainJob(layout, StandInSizes.SMALL).run();
        System.out.println(report);
        System.exit(report.path("held").asBoolean() ? 0 : 1);
    }

    private static void writeAddresses(Layout layout, Path directory) throws IOException {
        ObjectNode addresses = new ObjectMapper().createObjectNode();
        ArrayNode entries = addresses.putArray("entries");
        layout.entryAddresses().forEach(entry -> entries.add(base(entry)));
        ObjectNode services = addresses.putObject("services");
        for (Layout.Document document : layout.documents()) {
            ObjectNode service = services.putObject(document.service());
            service.put("kind", document.content().kind().name().toLowerCase(Locale.ROOT));
            ArrayNode targets = service.putArray("targets");
            document.content().targets().stream()
                    .map(TargetSettings::address)
                    .forEach(target -> targets.add(base(target)));
            service.put("credential", document.credential(0));
            service.put("otherCredential", document.credential(1));
        }
        // Moved into place whole, so that whoever waits for the file never reads a part of it.
        Path written = directory.resolve("addresses.json.part");
        Files.writeString(written, addresses.toPrettyString() + "\n");
        Files.move(written, directory.resolve("addresses.json"), StandardCopyOption.ATOMIC_MOVE);
    }

    private static void printAddresses(Layout layout, Path directory) {
        layout.entryAddresses().forEach(entry -> System.out.println("entry: " + base(entry)));
        for (Layout.Document document : layout.documents()) {
            System.out.println("service: " + document.service() + "  credential: " + document.credential(0));
        }
        System.out.println("addresses: " + directory.resolve("addresses.json"));
        Layout.Document document = layout.documents().stream()
                .filter(each -> each.content().model().isPresent())
                .findFirst()
                .orElseThrow();
        System.out.println("try:");
        System.out.println("  curl -N " + base(layout.entryAddresses().get(0)) + "/v1/chat/completions"
                + " -H 'Authorization: Bearer " + document.credential(0) + "'"
                + " -d '{\"model\": \"" + document.service() + "\", \"stream\": true,"
                + " \"messages\": [{\"role\": \"user\", \"content\": \"Does the record match the shift sheet?\"}]}'");
    }

    private static String base(Address address) {
        return "http://" + address;
    }
}
