package org.rattanrudder.daemon.relay;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.library.Architectures.LayeredArchitecture;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against imports between the relay's packages that go against their order, and against packages that have no
 * place in it.
 */
@AnalyzeClasses(packages = RelayPackagesTest.RELAY, importOptions = ImportOption.DoNotIncludeTests.class)
class RelayPackagesTest {
    static final String RELAY = "org.rattanrudder.daemon.relay";

    /** The packages of the relay; each may use those before it. */
    private static final List<String> ORDER = List.of(
            ".port",
            ".net",
            ".process",
            ".targets",
            ".store",
            ".streams",
            ".quarantine",
            ".peers",
            ".rollout",
            ".serving",
            "");

    private static final Path SOURCES = Path.of("src", "main", "java");

    private static final Pattern IMPORT =
            Pattern.compile("(?m)^import (?:static )?" + Pattern.quote(RELAY) + "(\\.[a-z]+)?\\.[A-Z]");

    @ArchTest
    void packagesUseOnlyThoseBeforeThemInTheOrder(JavaClasses relay) {
        LayeredArchitecture architecture = layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .ensureAllClassesAreContainedInArchitecture();
        for (String each : ORDER) {
            architecture = architecture.layer(RELAY + each).definedBy(RELAY + each);
        }
        architecture = architecture.whereLayer(RELAY + ORDER.get(0)).mayNotAccessAnyLayer();
        for (int index = 1; index < ORDER.size(); index++) {
            String[] before =
                    ORDER.subList(0, index).stream().map(RELAY::concat).toArray(String[]::new);
            architecture = architecture.whereLayer(RELAY + ORDER.get(index)).mayOnlyAccessLayers(before);
        }
        architecture.check(relay);
    }

    /** Guards against imports that leave no trace in class files: those of constants, and those for Javadoc. */
    @ParameterizedTest
    @MethodSource("sources")
    void sourcesImportOnlyFromPackagesBeforeTheirs(Path source) throws IOException {
        Path relay = SOURCES.resolve(RELAY.replace('.', '/'));
        Path inRelay = relay.relativize(source.getParent());
        int place = ORDER.indexOf(inRelay.toString().isEmpty() ? "" : "." + inRelay);
        Matcher imports = IMPORT.matcher(Files.readString(source));
        while (imports.find()) {
            String from = imports.group(1) == null ? "" : imports.group(1);
            assertThat(ORDER.indexOf(from)).as(imports.group()).isBetween(0, place - 1);
        }
    }

    static List<Path> sources() throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES.resolve(RELAY.replace('.', '/')))) {
            return files.filter(file -> file.toString().endsWith(".java"))
                    .sorted()
                    .toList();
        }
    }
}
