package org.rattanrudder.command;

/** Ends a command with a message for people and an exit code for scripts. */
final class CommandFailure extends Exception {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    CommandFailure(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    ExitCode exitCode() {
        return exitCode;
    }
}
