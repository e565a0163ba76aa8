package org.rattanrudder.daemon.logging;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Formats a log record as one line of key=value pairs: time, level, logger and the pairs of the message. */
public final class KeyValueFormatter extends Formatter {
    @Override
    public String format(LogRecord line) {
        StringBuilder text = new StringBuilder()
                .append("time=")
                .append(Instant.ofEpochMilli(line.getMillis()))
                .append(" level=")
                .append(line.getLevel())
                .append(" logger=")
                .append(shortName(line.getLoggerName()))
                .append(' ');
        String message = formatMessage(line);
        text.append(message.startsWith("event=") ? message : "event=message text=" + LogFields.quote(message));
        if (line.getThrown() != null) {
            text.append(" thrown=").append(LogFields.quote(stackOf(line.getThrown())));
        }
        return text.append('\n').toString();
    }

    private static String shortName(String logger) {
        return logger == null ? "root" : logger.substring(logger.lastIndexOf('.') + 1);
    }

    private static String stackOf(Throwable thrown) {
        StringWriter stack = new StringWriter();
        thrown.printStackTrace(new PrintWriter(stack));
        return stack.toString();
    }
}
