package org.rattanrudder.command;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The operators' command.
 *
 * <pre>{@code
 * rattanrudder check palivo-llm.json
 * rattanrudder publish palivo-llm.json --from 17 --wait
 * }</pre>
 */
public final class Rattanrudder {
    /** Kept, since a logger that nobody holds forgets its level. */
    private static final Logger TRANSPORT = Logger.getLogger("org.xnio");

    private Rattanrudder() {}

    /** Runs one command and exits with its {@link ExitCode}. */
    public static void main(String[] arguments) {
        TRANSPORT.setLevel(Level.WARNING);
        ExitCode code;
        try (HttpExchange exchange = new HttpExchange()) {
            Invocation.World world = new Invocation.World(exchange, System.getenv(), Rattanrudder::pause, System.in);
            code = new CommandLine(System.out, System.err, world).run(arguments);
        }
        System.out.flush();
        System.exit(code.number());
    }

    private static void pause() {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(InForceWait.PAUSE_MILLIS));
    }
}
