package org.rattanrudder.standins;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.extension.AfterTestExecutionCallback;
import org.junit.jupiter.api.extension.RegisterExtension;

/** A test with a system of its own: the real processes of one service of model engines. */
abstract class RunningSystemFixture {
    protected static final String SERVICE = "palivo-llm";

    @RegisterExtension
    final AfterTestExecutionCallback lines = RunningSystem.printLinesOfFailures(() -> this.system);

    protected RunningSystem system;

    @BeforeEach
    void start() {
        system = RunningSystem.start(SERVICE);
    }

    @AfterEach
    void stop() {
        system.close();
    }
}
