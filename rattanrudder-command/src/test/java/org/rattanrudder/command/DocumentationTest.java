package org.rattanrudder.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

class DocumentationTest {
    private static final Path ROOT = Path.of("..");
    private static final Pattern LINK = Pattern.compile("]\\(([^)#:\\s]+)(#[^)]*)?\\)");
    private static final Pattern SCRIPT = Pattern.compile("[`\\s./](bin/[a-z-]+|quickstart)\\b(?![./])");
    private static final Pattern COMMAND = Pattern.compile("(?m)[`$/]\\s?rattanrudder ((?:report )?[a-z-]+)([^`\\n]*)");
    private static final Pattern OPTION = Pattern.compile("--([a-z-]+)");

    private static final Pattern ROW = Pattern.compile("(?m)^\\| `([a-z_]+)` ");

    @ParameterizedTest
    @MethodSource("pages")
    void everyRelativeLinkLeadsToAFile(Path page) throws IOException {
        assertThat(groups(LINK, page, 1))
                .allSatisfy(link -> assertThat(page.resolveSibling(link))
                        .as("%s in %s", link, page)
                        .exists());
    }

    @ParameterizedTest
    @MethodSource("pages")
    void everyScriptThatIsNamedExists(Path page) throws IOException {
        assertThat(groups(SCRIPT, page, 1))
                .allSatisfy(script -> assertThat(Files.isExecutable(ROOT.resolve(script)))
                        .as("%s in %s", script, page)
                        .isTrue());
    }

    /** An operator on call types what the page says; a command or option that isn't there costs minutes. */
    @ParameterizedTest
    @MethodSource("pages")
    void everyCommandAndOptionThatIsNamedExists(Path page) throws IOException {
        for (MatchResult match : matches(COMMAND, page)) {
            String name = match.group(1);
            if (name.equals("help")) {
                continue;
            }
            List<Subcommand> found = Subcommands.ALL.stream()
                    .filter(each -> each.name().equals(name))
                    .toList();
            assertThat(found).as("rattanrudder %s in %s", name, page).hasSize(1);
            for (MatchResult option : OPTION.matcher(match.group(2)).results().toList()) {
                assertThat(found.get(0).parser().recognizedOptions())
                        .as("%s in %s", match.group(), page)
                        .containsKey(option.group(1));
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"Logs, EVENT", "Metrics, METRIC"})
    void thePageNamesWhatTheSourcesWriteAndNothingElse(String section, Names names) throws IOException {
        String page = Files.readString(ROOT.resolve("docs").resolve("LOGS-AND-METRICS.md"));
        String table = page.substring(page.indexOf("## " + section)).split("\n## ", 2)[0];
        List<String> listed = ROW.matcher(table)
                .results()
                .map(match -> match.group(1))
                .sorted()
                .toList();

        assertThat(listed).containsExactlyElementsOf(sourceNames(names.pattern));
    }

    /** How names stand in the sources. */
    private enum Names {
        EVENT("(?:(?:logEvent|infof?|warn|error|line|write)\\((?:severity, )?\\s*|String EVENT = )"
                + "\"(?:event=)?([a-z]+_?[a-z_]*)[ \"]"),
        METRIC("\"(rattanrudder_[a-z_]+)\"");

        private final Pattern pattern;

        Names(String pattern) {
            this.pattern = Pattern.compile(pattern);
        }
    }

    private static SortedSet<String> sourceNames(Pattern pattern) throws IOException {
        SortedSet<String> names = new TreeSet<>();
        for (String module : List.of("rattanrudder-daemon", "rattanrudder-core")) {
            try (Stream<Path> sources = Files.walk(ROOT.resolve(module).resolve("src/main/java"))) {
                for (Path source : sources.filter(Files::isRegularFile).toList()) {
                    names.addAll(groups(pattern, source, 1));
                }
            }
        }
        return names;
    }

    static List<Path> pages() throws IOException {
        try (Stream<Path> top = Files.list(ROOT);
                Stream<Path> docs = Files.walk(ROOT.resolve("docs"));
                Stream<Path> examples = Files.walk(ROOT.resolve("examples"))) {
            return Stream.of(top, docs, examples)
                    .flatMap(each -> each)
                    .filter(path -> path.toString().endsWith(".md"))
                    .sorted()
                    .toList();
        }
    }

    private static List<String> groups(Pattern pattern, Path page, int group) throws IOException {
        return matches(pattern, page).stream().map(match -> match.group(group)).toList();
    }

    private static List<MatchResult> matches(Pattern pattern, Path page) throws IOException {
        return pattern.matcher(Files.readString(page)).results().toList();
    }
}
