package org.rattanrudder.standins;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.extension.AfterTestExecutionCallback;
import org.rattanrudder.core.document.TargetSettings;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.standins.deployment.Layout;
import org.rattanrudder.standins.deployment.Operator;
import org.rattanrudder.standins.deployment.Ports;
import org.rattanrudder.standins.deployment.Readiness;
import org.rattanrudder.standins.deployment.StandInPlan;
import org.rattanrudder.standins.deployment.StandInSizes;
import org.rattanrudder.standins.load.Answer;
import org.rattanrudder.standins.load.Caller;
import org.rattanrudder.standins.load.CallerClient;

/** Real daemons as processes of their own, on free ports, with the stand-ins in the test's process. */
final class RunningSystem implements AutoCloseable {
    private static final String DAEMON = "org.rattanrudder.daemon.Rattanrudderd";
    private static final Path EXAMPLES = Path.of("..", "examples", "small");
    private static final int LINES_SHOWN = 20;
    private static final String START_OF_STACKS = "Full thread dump";
    private static final String END_OF_STACKS = "JNI global refs";
    private static final Path LOGS = Path.of("target", "process-logs");

    private final CallerClient client = new CallerClient();
    private final Layout layout;
    private final StandIns standIns;
    private final Path directory;
    private final Map<String, Process> processes = new HashMap<>();

    private RunningSystem(Layout layout, StandInSizes sizes) throws IOException {
        this.layout = layout;
        directory = Files.createDirectories(
                LOGS.resolve("run-" + ProcessHandle.current().pid() + "-"
                        + layout.entryAddresses().get(0).port()));
        standIns = StandIns.start(StandInPlan.of(layout, sizes));
    }

    /** Starts entries and the companions of these services, and waits until all is ready. */
    static RunningSystem start(String... services) {
        return start(StandInSizes.SMALL, text -> text, services);
    }

    /** Starts a system whose documents and settings are changed before they are read. */
    static RunningSystem start(StandInSizes sizes, UnaryOperator<String> edit, String... services) {
        Layout layout =
                Layout.read(EXAMPLES, Ports.free(Layout.texts(EXAMPLES)), edit).only(services);
        RunningSystem system;
        try {
            system = new RunningSystem(layout, sizes);
        } catch (IOException unwritable) {
            throw new UncheckedIOException(unwritable);
        }
        try {
            layout.processes().forEach(process -> system.startProcess(process.name()));
            new Readiness(layout, system.client, system::requireAllRun).publishAndWait();
            return system;
        } catch (RuntimeException notReady) {
            system.dumpStacks();
            notReady.addSuppressed(new IllegalStateException("the processes wrote last:" + system.lastLines()));
            system.close();
            throw notReady;
        }
    }

    /** Returns what prints the last lines of each process, with its stacks, once a test has failed. */
    static AfterTestExecutionCallback printLinesOfFailures(Supplier<RunningSystem> system) {
        return test -> test.getExecutionException().ifPresent(failed -> {
            system.get().dumpStacks();
            System.out.println(test.getDisplayName() + " failed" + system.get().lastLines());
        });
    }

    /** Has each running process write the stacks of its threads to its log, and waits for them for a while. */
    private void dumpStacks() {
        List<String> running = processes.keySet().stream()
                .filter(name -> processes.get(name).isAlive())
                .toList();
        running.forEach(name -> signal(name, "QUIT"));
        try {
            Await.until(
                    "stacks", () -> running.stream().allMatch(name -> log(name).contains(END_OF_STACKS)));
        } catch (AssertionError missing) {
            System.out.println("a process writes no stacks: " + missing.getMessage());
        }
    }

    private String lastLines() {
        return processes.keySet().stream()
                .sorted()
                .map(name -> "\n" + name + ":\n" + lastLines(name))
                .collect(Collectors.joining());
    }

    /** Fails with what a process wrote last if one has ended by itself. */
    private void requireAllRun() {
        processes.forEach((name, process) -> {
            if (!process.isAlive()) {
                throw new IllegalStateException(
                        name + " ended with exit code " + process.exitValue() + ": " + lastLines(name));
            }
        });
    }

    private String lastLines(String name) {
        try {
            List<String> lines = Files.readAllLines(directory.resolve(name + ".log"));
            int stacks = IntStream.range(0, lines.size())
                    .filter(line -> lines.get(line).startsWith(START_OF_STACKS))
                    .findFirst()
                    .orElse(lines.size());
            int from = Math.max(0, stacks - LINES_SHOWN);
            return String.join("\n", lines.subList(from, lines.size()));
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }

    /** Starts a process of the layout, or starts it again after its end. */
    void startProcess(String name) {
        Layout.Process process = layout.processes().stream()
                .filter(each -> each.name().equals(name))
                .findFirst()
                .orElseThrow();
        try {
            Path settings = writeSettings(name, process.text());
            List<String> command = new ArrayList<>(List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Xmx96m",
                    "-cp",
                    System.getProperty("java.class.path"),
                    DAEMON,
                    "--settings",
                    settings.toString()));
            ProcessBuilder builder = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(
                            directory.resolve(name + ".log").toFile()));
            processes.put(name, builder.start());
        } catch (IOException notStarted) {
            throw new UncheckedIOException(notStarted);
        }
    }

    /** Replaces the settings file of a process at once; the process isn't told. */
    Path writeSettings(String name, String text) {
        try {
            Path next = Files.writeString(directory.resolve(name + ".json.next"), text);
            return Files.move(
                    next,
                    directory.resolve(name + ".json"),
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException unwritable) {
            throw new UncheckedIOException(unwritable);
        }
    }

    /** Tells a process that its settings have changed. */
    void readSettingsAgain(String name) {
        signal(name, "HUP");
    }

    /** Returns what a process has logged so far. */
    String log(String name) {
        try {
            return Files.readString(directory.resolve(name + ".log"));
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }

    CallerClient client() {
        return client;
    }

    Layout layout() {
        return layout;
    }

    Address entry(int number) {
        return layout.entryAddresses().get(number);
    }

    Operator operator(int entry) {
        return new Operator(client, entry(entry));
    }

    /** Returns a caller: the first or another of the service's example customers. */
    Caller caller(String service, int customer) {
        return new Caller(client, layout.document(service).credential(customer));
    }

    Process process(String name) {
        return processes.get(name);
    }

    EngineStandIn engine(String service, int target) {
        return standIns.at(target(service, target).address(), EngineStandIn.class);
    }

    PlainServiceStandIn plain(String service, int target) {
        return standIns.at(target(service, target).address(), PlainServiceStandIn.class);
    }

    TargetSettings target(String service, int number) {
        return layout.document(service).content().targets().get(number);
    }

    /** Returns the name of the companion process that holds a target. */
    String companionOf(String service, int number) {
        Address link = target(service, number).companion();
        return layout.processes().stream()
                .filter(process -> process.settings().link().stream().anyMatch(link::equals))
                .findFirst()
                .orElseThrow()
                .name();
    }

    /** Returns how often all targets of a plain service together ran an entry. */
    long runs(String service, String entry) {
        int targets = layout.document(service).content().targets().size();
        long runs = 0;
        for (int number = 0; number < targets; number++) {
            runs += plain(service, number).entries().stream()
                    .filter(entry::equals)
                    .count();
        }
        return runs;
    }

    /** Tells a stand-in to fail in these ways, and no others. */
    void fault(Address standIn, String faults) {
        // A client of its own: an older connection may be the one that is silent.
        Answer answer = new CallerClient().call(standIn, "POST", "/fault", Map.of(), faults);
        if (answer.status() != 200) {
            throw new IllegalStateException("the fault wasn't taken: " + answer);
        }
    }

    Address log() {
        return layout.processes().get(0).settings().platform().log();
    }

    WeightStoreStandIn weights() {
        return standIns.at(layout.processes().get(0).settings().platform().weights(), WeightStoreStandIn.class);
    }

    /** Freezes a process that this system started, as a pause of its machine would. */
    void freeze(String name) {
        signal(name, "STOP");
    }

    /** Lets a frozen process go on. */
    void thaw(String name) {
        signal(name, "CONT");
    }

    private void signal(String name, String signal) {
        try {
            String pid = Long.toString(processes.get(name).pid());
            int result = new ProcessBuilder("kill", "-" + signal, pid).start().waitFor();
            if (result != 0) {
                throw new IllegalStateException("kill -" + signal + " " + pid + " gave " + result);
            }
        } catch (IOException notStarted) {
            throw new UncheckedIOException(notStarted);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(interrupted);
        }
    }

    @Override
    public void close() {
        processes.values().forEach(Process::destroyForcibly);
        processes.values().forEach(RunningSystem::awaitEnd);
        standIns.close();
    }

    private static void awaitEnd(Process process) {
        try {
            process.waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
