package org.rattanrudder.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.rattanrudder.core.burn.BurnLedger;
import org.rattanrudder.core.burn.BurnSnapshot;
import org.rattanrudder.core.call.Usage;
import org.rattanrudder.core.document.RequestClass;
import org.rattanrudder.core.entry.OperatorReply;
import org.rattanrudder.core.entry.RequestSummary;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.ServiceName;

class CommandLineTest {
    private static final String ENTRY = "127.0.0.1:7601";
    private static final String OTHER = "127.0.0.1:7602";
    private static final Path EXAMPLE = Path.of("..", "examples", "fuel-ledger.json");
    private static final ServiceName SERVICE = new ServiceName("fuel-ledger");

    @TempDir
    private Path directory;

    private final FakeEntry entry = new FakeEntry();
    private final FakeEntry other = new FakeEntry();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private Runnable pause = () -> {};
    private String text;
    private String input = "";
    private String entries = ENTRY;

    @BeforeEach
    void readExample() throws IOException {
        text = Files.readString(EXAMPLE);
    }

    /**
     * A clerk's check failed and all that is known is its id. Its lines lie among those of other requests, from two
     * relays, in the order in which a collector happened to write them.
     */
    @Test
    void aRequestIsExplainedFromTheLogs() {
        input = """
                relay-2 time=2026-03-19T17:14:23.500Z level=INFO logger=R event=request_ended request=r7 outcome=200 \
                reason="passed on" ms=400
                relay-1 time=2026-03-19T17:14:23.020Z level=INFO logger=R event=attempt_failed request=r7 target=i-1 \
                outcome=SILENT reason="silent for 810 ms" after_ms=810
                relay-1 time=2026-03-19T17:14:23.010Z level=INFO logger=R event=request_placed request=r7 target=i-1 \
                candidates=6 expected_ms=12
                relay-1 time=2026-03-19T17:14:23.010Z level=INFO logger=R event=request_placed request=r77 target=i-2
                not a line of ours about r7
                """;

        assertThat(run("explain-request", "r7")).isEqualTo(ExitCode.DONE);

        assertThat(output().lines().filter(line -> line.contains(" ms  ")))
                .containsExactly(
                        "       0 ms  relay-1: target i-1 picked out of 6, delay of 12 ms expected",
                        "      10 ms  relay-1: attempt at i-1 failed: SILENT, silent for 810 ms after 810 ms",
                        "     490 ms  relay-2: ended with 200 (passed on) after 400 ms");
        assertThat(output()).doesNotContain("i-2");
        assertThat(run("explain-request", "r8")).isEqualTo(ExitCode.DIFFERENT);
        assertThat(errors()).contains("no line is about request r8");
    }

    /** Guards against a choice that nobody can explain: the target with the least work wasn't picked. */
    @ParameterizedTest
    @CsvSource({
        "'', ''",
        "pace_percent=250 pace_age_ms=80, 'pace 250% reported 80 ms before'",
        "pace_percent=none pace_age_ms=0, no pace reported"
    })
    void aRequestsTargetIsExplainedByItsCapacity(String pace, String meaning) {
        input = "relay-2 time=2026-03-19T17:14:23.500Z level=INFO logger=R event=request_placed request=r7 target=i-1"
                + " candidates=6 expected_ms=12"
                + (pace.isEmpty() ? "" : " " + pace + " factor=1.1 slowdown=2.4 tokens_per_ms=41.8 base_ms=31") + "\n";

        assertThat(run("explain-request", "r7")).isEqualTo(ExitCode.DONE);

        assertThat(output())
                .contains("delay of 12 ms expected"
                        + (pace.isEmpty()
                                ? ""
                                : "; it is taken as 2.4 times as slow as usual (" + meaning
                                        + ", learned factor 1.1), usual are 41.8 tokens/ms and 31 ms")
                        + "\n");
    }

    @ParameterizedTest
    @CsvSource({"told, v1.1, true, ''", "unknown, unknown, false, ', which no target can continue'"})
    void aRequestThatResumesAStreamNamesWhatBeganIt(String origin, String software, boolean continuable, String end) {
        input = "relay-2 time=2026-03-19T17:14:23.500Z level=INFO logger=R event=stream_resumed request=r7 resumes=r6"
                + " after_event=4 origin=" + origin + " service=llm software=" + software + " age_ms=70 waited_ms=0"
                + " continuable=" + continuable + "\n";

        assertThat(run("explain-request", "r7")).isEqualTo(ExitCode.DONE);

        assertThat(output())
                .contains("resumes the stream of request r6 after event 4; begun by llm " + software + " (" + origin
                        + ")" + end + "\n");
    }

    /** A caller asks why its request was rejected at once: what the relay expected, and from what. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "request_forecast | forecast_ms=420 as_late=false | expected to be sent in 420 ms: 9 requests of 900"
                        + " tokens are ahead, 20.5 requests and 2050 tokens a second were served, known for 12 ms",
                "request_forecast | forecast_ms=unknown as_late=unknown | too little is known to say when it will be"
                        + " sent",
                "request_rejected_early | forecast_ms=5000 as_late=true useful_ms=800 retry_after_ms=240 | rejected,"
                        + " since it would be sent late, in 5000 ms: 9 requests"
            })
    void aRequestIsExplainedByTheForecastOfItsTurn(String event, String fields, String words) {
        input = "relay-1 time=2026-03-19T17:14:23.500Z level=INFO logger=R event=" + event + " request=r7 " + fields
                + " ahead=9 ahead_tokens=900 requests_per_s=20.5 tokens_per_s=2050 rate_age_ms=12\n";

        assertThat(run("explain-request", "r7")).isEqualTo(ExitCode.DONE);

        assertThat(output()).contains(words);
    }

    /**
     * At shift change clerks say that checks are slow. The logs of all relays tell which step made them late, without a
     * look at single requests.
     */
    @ParameterizedTest
    @CsvSource({
        "200, 30, 200, 1000, 0, 1 1 0 0 0 0 0 0 0 0",
        "200, 450, 200, 1000, 0, 1 0 1 0 0 0 0 0 0 0",
        "200, 450, 200, 1000, 1, 1 0 0 1 0 0 0 0 0 0",
        "200, 30, 600, 50000, 0, 1 0 0 0 1 0 0 0 0 0",
        "200, 30, 600, 1000, 0, 1 0 0 0 0 1 0 0 0 0",
        "overloaded, none, none, none, 0, 1 0 0 0 0 0 0 1 0 0",
        "broken_off, 30, 60, 1000, 0, 1 0 0 0 0 0 0 0 1 0",
        "target_failed, 30, 60, 1000, 1, 1 0 0 0 0 0 0 0 1 0",
        "500, 30, 60, 1000, 0, 1 0 0 0 0 0 0 0 1 0",
        "cancelled, 30, 60, 1000, 0, 1 0 0 0 0 0 0 0 0 1"
    })
    void lateRequestsStandUnderTheStepThatTookLongest(
            String outcome, String wait, String first, String unread, int runs, String counts) {
        input = "relay-1 time=2026-03-19T17:14:23.500Z level=INFO logger=R event=request_ended request=r7 route=check"
                + " outcome=" + outcome + " reason=\"passed on\" ms=400 sent_after_ms=" + wait + " first_after_ms="
                + first
                + " unread=" + unread + " runs=" + runs + " unrun_sends=0 objective_ms=500\n"
                + "not a line of ours\nevent=request_held request=r8\n";

        assertThat(run("report", "delays")).isEqualTo(ExitCode.DONE);

        String row = output().lines().skip(1).findFirst().orElseThrow().replaceAll(" +", " ");
        assertThat(row).startsWith("check " + counts);
    }

    /** A draft begins at once and then stands still for a second: its caller calls it late for that. */
    @Test
    void aStreamThatStoodStillForTooLongIsLate() {
        input = "relay-1 time=2026-03-19T17:14:23.500Z level=INFO logger=R event=request_ended request=r7 route=draft"
                + " outcome=200 sent_after_ms=1 first_after_ms=60 unread=10 objective_ms=500 longest_pause_ms=901"
                + " pause_objective_ms=600\n";

        assertThat(run("report", "delays")).isEqualTo(ExitCode.DONE);

        assertThat(output().lines().skip(1).findFirst().orElseThrow().replaceAll(" +", " "))
                .startsWith("draft 1 0 0 0 0 0 1 0 0 0");
    }

    /**
     * A day went badly. Two relays' logs tell what was lost: a draft refused, a tag late in the second after, and a
     * board that a second engine read 300 ms after the first one had.
     */
    @Test
    void lossesAreLaidToReasonsRoutesAndSeconds() throws IOException {
        Path loadTest = directory.resolve("load-test.json");
        Files.writeString(loadTest, "{\"prices\":[[\"orders\",11,0.0007],[\"tokens read again\",488,0.053]]}");
        String line = "relay-1 time=2026-03-19T17:14:%s level=INFO logger=R event=%s\n";
        input = String.format(
                        line,
                        "23.500Z",
                        "request_ended request=r1 route=draft outcome=overloaded"
                                + " reason=\"line too long\" ms=100 runs=0")
                + String.format(
                        line,
                        "24.900Z",
                        "request_ended request=r2 route=tag outcome=200 ms=400"
                                + " sent_after_ms=1 first_after_ms=390 unread=10 objective_ms=200")
                + String.format(
                        line,
                        "24.910Z",
                        "request_ended request=r3 route=tag outcome=200 ms=40"
                                + " sent_after_ms=1 first_after_ms=39 unread=10 objective_ms=200")
                + String.format(line, "24.300Z", "request_sent request=r4 target=e2 salt=w1 parts=b7:800:being_saved")
                + String.format(line, "24.000Z", "request_sent request=r5 target=e1 salt=w1 parts=b7:800:saved")
                + String.format(line, "24.600Z", "request_sent request=r6 target=e2 salt=w1 parts=b7:800:being_saved")
                + String.format(line, "24.700Z", "request_sent request=r7 target=e3 salt=w1 parts=b7:800:fetched");

        assertThat(run("report", "losses", "--worth", "draft=2.8", "--load-test", loadTest.toString()))
                .isEqualTo(ExitCode.DONE);

        assertThat(output().lines().map(row -> row.replaceAll(" +", " ")))
                .containsExactly(
                        "REASON LOST SHARE",
                        "refused: line too long 2.800 0.583",
                        "target 0.800 0.167",
                        "ROUTE LOST SHARE",
                        "draft 2.800 1.000",
                        "tag 0.800 0.400",
                        "SECOND LOST SHARE",
                        "0 2.800 1.000",
                        "1 0.800 0.400",
                        "READ AGAIN TOKENS",
                        "being_saved, asked for at once 800",
                        "all 800",
                        "PRICED AMOUNT SHARE",
                        "tokens read again 488.000 0.053");
    }

    @ParameterizedTest
    @CsvSource({
        "--worth, draft, expected ROUTE=NUMBER",
        "--worth, draft=much, not a number in range",
        "--late-share, 1.5, not a number in range",
        "--load-test, nowhere.json, can't be read"
    })
    void anOptionOfTheReportOfLossesThatMakesNoSenseIsNamed(String option, String value, String problem) {
        assertThat(run("report", "losses", option, value)).isEqualTo(ExitCode.USAGE);
        assertThat(errors()).contains(problem);
    }

    @ParameterizedTest
    @CsvSource({"delays", "losses"})
    void aReportFromLogsWithoutARequestsEndSaysSo(String report) {
        input = "nothing of ours";

        assertThat(run("report", report)).isEqualTo(ExitCode.DIFFERENT);
        assertThat(errors()).contains("no line tells of a request's end");
    }

    @Test
    void anEditFromTheRevisionInForceIsAcceptedAndAnOlderOneIsVoid() {
        assertThat(run("publish", EXAMPLE.toString(), "--from", "0")).isEqualTo(ExitCode.DONE);
        assertThat(output()).contains("accepted: fuel-ledger revision 1 (edited from 0)");
        assertThat(run("publish", EXAMPLE.toString(), "--from", "0")).isEqualTo(ExitCode.CONFLICT);
        assertThat(errors()).contains("revision_conflict: revision 1 is in force");
    }

    /**
     * The operator's connection breaks after the entry has taken the edit. A second try would find its own edit in the
     * way and report a conflict with nobody; so the command looks whether the text in force is its own.
     */
    @Test
    void aLostAnswerToAPublishIsResolvedByLookingAndNeverByASecondPublish() {
        entries = ENTRY + "," + OTHER;
        entry.losesAnswers = true;

        assertThat(run("publish", EXAMPLE.toString(), "--from", "0")).isEqualTo(ExitCode.DONE);
        assertThat(entry.calls)
                .containsExactly("POST /operator/services/fuel-ledger", "GET /operator/services/fuel-ledger");
        assertThat(other.calls).isEmpty();
    }

    /** As above, but the edit can't be seen: it may still come into force, so neither yes nor no would be true. */
    @Test
    void aLostAnswerWithoutATraceIsSaidToBeUnknown() {
        entries = ENTRY + "," + OTHER;
        entry.losesAnswers = true;
        entry.dropsEdits = true;

        assertThat(run("publish", EXAMPLE.toString(), "--from", "0")).isEqualTo(ExitCode.UNKNOWN);
        assertThat(errors()).contains("it may still become so");
        assertThat(other.calls).isEmpty();
    }

    @Test
    void theNextEntryIsTriedWhereTheFirstCannotHaveTakenTheEdit() {
        entries = ENTRY + "," + OTHER;
        entry.unreachable = true;
        assertThat(run("publish", EXAMPLE.toString(), "--from", "0")).isEqualTo(ExitCode.DONE);

        entry.unreachable = false;
        entry.draining = true;
        assertThat(run("publish", EXAMPLE.toString(), "--from", "1")).isEqualTo(ExitCode.DONE);
        assertThat(other.documents.get("fuel-ledger").revision()).isEqualTo(2);
    }

    /** A companion is cut off while a document spreads; the operator has to hear which one doesn't have it. */
    @Test
    void waitingNamesTheCompanionsThatLagUntilTheyHoldTheRevision() {
        entry.companions = companions(1, "127.0.0.1:7411", "127.0.0.1:7412");

        assertThat(run("publish", EXAMPLE.toString(), "--from", "0", "--wait", "--wait-seconds", "1"))
                .isEqualTo(ExitCode.LAGGING);
        assertThat(output())
                .contains("not in force after 1 s at:", "companion 127.0.0.1:7413: not known to hold revision 1")
                .doesNotContain("7411", "7412");

        pause = () -> entry.companions = companions(2, "127.0.0.1:7411", "127.0.0.1:7412", "127.0.0.1:7413");
        assertThat(run("publish", EXAMPLE.toString(), "--from", "1", "--wait")).isEqualTo(ExitCode.DONE);
        assertThat(output()).contains("in force everywhere");
    }

    @Test
    void drainingEditsTheDocumentInForceAndKeepsItsComments() {
        entry.documents.put("fuel-ledger", new OperatorReply.Shown(SERVICE, 4, text));

        assertThat(run("drain", "ledger-2")).isEqualTo(ExitCode.DONE);

        OperatorReply.Shown drained = entry.documents.get("fuel-ledger");
        assertThat(drained.revision()).isEqualTo(5);
        assertThat(drained.text().replace("\"draining\": true, ", "")).isEqualTo(text);
        assertThat(run("drain", "ledger-2")).isEqualTo(ExitCode.DONE);
        assertThat(output()).contains("ledger-2 is draining already");
        assertThat(run("undrain", "ledger-2")).isEqualTo(ExitCode.DONE);
        assertThat(run("drain", "ledger-9")).isEqualTo(ExitCode.USAGE);
    }

    @Test
    void showWritesTheTextAsPublishedAndDiffTellsWhatDiffers() throws IOException {
        entry.documents.put("fuel-ledger", new OperatorReply.Shown(SERVICE, 4, text));
        Path edited = directory.resolve("edited.json");
        Files.writeString(edited, text.replace("\"concurrency\": 32}", "\"concurrency\": 33}"));

        assertThat(run("show", "fuel-ledger")).isEqualTo(ExitCode.DONE);
        assertThat(output()).isEqualTo(text);
        assertThat(run("diff", EXAMPLE.toString())).isEqualTo(ExitCode.DONE);
        assertThat(run("diff", edited.toString())).isEqualTo(ExitCode.DIFFERENT);
        assertThat(output().lines().filter(line -> line.startsWith("-") || line.startsWith("+")))
                .hasSize(2 + 6);
    }

    @Test
    void theBurnReportMergesEntriesAndNamesTheSilentOnes() throws IOException {
        RequestClass objective = new RequestClass("log-entry", 0, 5_000, 200, 0.999);
        entry.burn = burn("e1", objective, 90, 10);
        other.unreachable = true;
        entries = ENTRY + "," + OTHER;
        Path page = directory.resolve("burn.html");

        assertThat(run("report", "burn", "--html", page.toString())).isEqualTo(ExitCode.DONE);

        assertThat(output())
                .contains("from 1 of 2 entries", "ALERT fast: fuel-ledger/log-entry", "depo-sever")
                .contains("gap: no answer from " + OTHER, "99.9% within 200 ms", "100.0x");
        assertThat(Files.readString(page))
                .contains("<svg", "Worst customers", "No answer from " + OTHER)
                .doesNotContain("src=", "href=");
    }

    @ParameterizedTest
    @CsvSource({
        "check ../examples/palivo-llm.json, DONE",
        "check --settings ../examples/settings/povazie-entry-1.json, DONE",
        "check ../examples/settings/povazie-entry-1.json, INVALID_DOCUMENT",
        "check no-such-file.json, USAGE",
        "check, USAGE",
        "check --jsno x, USAGE",
        "publish ../examples/palivo-llm.json, USAGE",
        "publish ../examples/palivo-llm.json --from one, USAGE",
        "publish ../examples/settings/povazie-entry-1.json --from 0, INVALID_DOCUMENT",
        "show palivo-llm, REFUSED",
        "show NO/NAME, USAGE",
        "status extra, USAGE",
        "explain --customer depo-sever, USAGE",
        "launch, USAGE",
        "report, USAGE",
        "help nothing, USAGE",
        "help, DONE",
        "help report burn, DONE",
        "publish --help, DONE",
    })
    void aCommandLineEndsWithItsExitCodeAndWithoutAStackTrace(String line, ExitCode code) {
        assertThat(run(line.split(" "))).isEqualTo(code);
        assertThat(errors()).doesNotContain("Exception", "\tat ");
        assertThat(errors().isBlank()).isEqualTo(code == ExitCode.DONE);
    }

    @Test
    void anUnreachableSystemAndAWrongCredentialAreTold() {
        entry.unreachable = true;
        assertThat(run("status")).isEqualTo(ExitCode.UNREACHABLE);
        assertThat(errors()).contains(ENTRY + ": connection refused");
        assertThat(run("status", "--json")).isEqualTo(ExitCode.UNREACHABLE);
        assertThat(output()).startsWith("{\"error\":{\"exit_code\":5,\"kind\":\"unreachable\"");

        entry.unreachable = false;
        assertThat(run(Map.of(Invocation.CREDENTIAL_VARIABLE, "wrong"), "show", "fuel-ledger"))
                .isEqualTo(ExitCode.REFUSED);
        assertThat(errors()).contains("unauthenticated").doesNotContain("wrong");
        assertThat(run(Map.of(), "show", "fuel-ledger")).isEqualTo(ExitCode.USAGE);
    }

    @ParameterizedTest
    @EnumSource
    void everyExitCodeIsInTheHelpAndOnThePage(ExitCode code) throws IOException {
        run("help");

        assertThat(output()).contains("  " + code.number() + "  " + code.meaning());
        assertThat(Files.readString(Path.of("..", "docs", "COMMANDS.md")))
                .contains("| " + code.number() + " | " + code.meaning() + " |");
    }

    private ExitCode run(String... arguments) {
        return run(Map.of(Invocation.CREDENTIAL_VARIABLE, "example-operator"), arguments);
    }

    private ExitCode run(Map<String, String> environment, String... arguments) {
        out.reset();
        err.reset();
        Exchange exchange =
                (address, request) -> (address.equals(Address.parse(ENTRY)) ? entry : other).answer(request);
        Map<String, String> variables = new HashMap<>(environment);
        variables.putIfAbsent(Invocation.ENTRIES_VARIABLE, entries);
        Invocation.World world = new Invocation.World(
                exchange,
                variables,
                () -> pause.run(),
                new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)));
        return new CommandLine(stream(out), stream(err), world).run(arguments);
    }

    private static PrintStream stream(ByteArrayOutputStream bytes) {
        return new PrintStream(bytes, true, StandardCharsets.UTF_8);
    }

    private String output() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private String errors() {
        return err.toString(StandardCharsets.UTF_8);
    }

    private static List<OperatorReply.CompanionStatus> companions(long revision, String... addresses) {
        return Stream.of(addresses)
                .map(address -> new OperatorReply.CompanionStatus(
                        address,
                        "companion",
                        "depo-sever",
                        true,
                        100,
                        List.of(),
                        List.of(new Frame.ServiceRevision(SERVICE, revision))))
                .toList();
    }

    private static BurnSnapshot burn(String name, RequestClass objective, int good, int bad) {
        BurnLedger ledger = new BurnLedger(name, name, "depo-sever", 1_796_200_000_000L);
        for (int request = 0; request < good + bad; request++) {
            long micros = request < good ? 20_000 : 400_000;
            RequestSummary summary = new RequestSummary(
                    "1-1",
                    "fuel-ledger",
                    "depo-sever",
                    "log-entry",
                    "ledger-1",
                    1,
                    micros,
                    micros,
                    Optional.empty(),
                    200,
                    Usage.NONE);
            ledger.record(summary, objective, 1_796_200_000_000L);
        }
        return ledger.snapshot(1_796_200_000_000L);
    }
}
