package org.rattanrudder.standins;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** A test with a system of its own: the real processes of one service of model engines. */
abstract class RunningSystemFixture {
    protected static final String SERVICE = "palivo-llm";

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
