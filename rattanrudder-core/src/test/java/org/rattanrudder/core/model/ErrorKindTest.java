package org.rattanrudder.core.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ErrorKindTest {
    private static final Path PAGE = Path.of("..", "docs", "ERRORS.md");

    @Test
    void theErrorsPageListsExactlyTheKindsInOrder() throws IOException {
        assertThat(rows().stream().map(row -> row.get(0)))
                .containsExactlyElementsOf(Arrays.stream(ErrorKind.values())
                        .map(kind -> "`" + kind.wireName() + "`")
                        .toList());
    }

    @ParameterizedTest
    @EnumSource
    void theErrorsPageMatchesEachKind(ErrorKind kind) throws IOException {
        List<String> row = rows().get(kind.ordinal());

        assertThat(row.subList(0, 5))
                .containsExactly(
                        "`" + kind.wireName() + "`",
                        Integer.toString(kind.status()),
                        "`" + kind.runState().wireName() + "`",
                        kind.retryAdvice().name().toLowerCase(Locale.ROOT).replace('_', ' '),
                        kind.severity().name());
        assertThat(row.get(5)).isNotBlank();
    }

    /**
     * Failure: a call runs twice because an error advised the caller to retry it. Only an error with run state "not
     * run" may advise a retry, except for a key in progress, whose retry gets the answer of the first call.
     */
    @ParameterizedTest
    @EnumSource
    void aRetryIsAdvisedOnlyIfTheRequestDidNotRun(ErrorKind kind) {
        boolean advised = kind.retryAdvice() == ErrorKind.RetryAdvice.AT_ONCE
                || kind.retryAdvice() == ErrorKind.RetryAdvice.LATER;

        assertThat(!advised || kind.runState() == RunState.NOT_RUN || kind == ErrorKind.KEY_IN_PROGRESS)
                .isTrue();
        assertThat(kind.status()).isBetween(400, 599);
    }

    private static List<List<String>> rows() throws IOException {
        return Files.readAllLines(PAGE).stream()
                .filter(line -> line.startsWith("| `"))
                .map(line -> Arrays.stream(line.substring(1).split("\\|"))
                        .map(String::strip)
                        .toList())
                .toList();
    }
}
