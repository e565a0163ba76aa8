package org.rattanrudder.daemon.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.rattanrudder.core.entry.EntryEffect;
import org.rattanrudder.core.entry.EntryEvent;
import org.rattanrudder.core.entry.RequestSummary;
import org.rattanrudder.core.log.AppendResult;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.daemon.logging.EventLog;
import org.rattanrudder.daemon.platform.LogAppender;

/** Carries out an entry's effects, on the handler thread; nothing here blocks. */
final class EntryEffects implements Consumer<EntryEffect> {
    private static final long MICROS_PER_MILLI = 1_000;

    private final Callers callers;
    private final CompanionLinks links;
    private final LogAppender appender;
    private final OperatorHandler operators;
    private final Consumer<EntryEvent> publish;
    private final RequestRecorder recorder;
    private final EventLog log;
    private final Runnable drained;

    EntryEffects(
            Callers callers,
            CompanionLinks links,
            LogAppender appender,
            OperatorHandler operators,
            Consumer<EntryEvent> publish,
            RequestRecorder recorder,
            EventLog log,
            Runnable drained) {
        this.callers = callers;
        this.links = links;
        this.appender = appender;
        this.operators = operators;
        this.publish = publish;
        this.recorder = recorder;
        this.log = log;
        this.drained = drained;
    }

    @Override
    public void accept(EntryEffect effect) {
        if (effect instanceof EntryEffect.SendChunk chunk) {
            callers.find(chunk.sequence()).ifPresent(caller -> caller.send(chunk.bytes()));
        } else if (effect instanceof EntryEffect.SendFrame sent) {
            links.send(sent.companion(), sent.frame());
        } else if (effect instanceof EntryEffect.BeginAnswer begin) {
            callers.find(begin.sequence()).ifPresent(caller -> caller.begin(begin.status(), begin.headers()));
        } else if (effect instanceof EntryEffect.EndAnswer end) {
            callers.find(end.sequence()).ifPresent(CallerExchange::end);
        } else if (effect instanceof EntryEffect.Refuse refuse) {
            callers.find(refuse.sequence()).ifPresent(caller -> caller.refuse(refuse.refusal()));
        } else if (effect instanceof EntryEffect.RequestEnded ended) {
            ended(ended);
        } else {
            acceptRare(effect);
        }
    }

    private void acceptRare(EntryEffect effect) {
        if (effect instanceof EntryEffect.OpenLink open) {
            links.open(open.companion());
        } else if (effect instanceof EntryEffect.CloseLink close) {
            links.close(close.companion());
        } else if (effect instanceof EntryEffect.Append append) {
            appender.append(append.stream(), append.batch(), result -> settled(append, result));
        } else if (effect instanceof EntryEffect.ReplyToOperator reply) {
            operators.reply(reply.handle(), reply.reply());
        } else if (effect instanceof EntryEffect.LogEvent note) {
            log.write(ErrorKind.Severity.INFO, note.event(), note.fields());
        } else if (effect instanceof EntryEffect.Drained) {
            drained.run();
        } else {
            throw new IllegalStateException(
                    "no adapter for " + effect.getClass().getSimpleName());
        }
    }

    private void settled(EntryEffect.Append append, AppendResult result) {
        publish.accept(
                new EntryEvent.AppendSettled(append.stream(), append.batch().sequence(), result));
    }

    private void ended(EntryEffect.RequestEnded ended) {
        RequestSummary summary = ended.summary();
        recorder.record(summary, ended.requestClass());
        List<String> fields = new ArrayList<>(List.of(
                "request", summary.requestId(),
                "service", summary.service(),
                "customer", summary.customer(),
                "class", summary.requestClass(),
                "target", summary.target(),
                "status", Integer.toString(summary.status()),
                "attempts", Integer.toString(summary.attempts()),
                "first_byte_ms", millis(summary.firstByteMicros()),
                "total_ms", millis(summary.totalMicros())));
        fields.addAll(List.of(
                "prompt_tokens", Integer.toString(summary.usage().promptTokens()),
                "cached_tokens", Integer.toString(summary.usage().cachedTokens())));
        summary.error().ifPresent(kind -> fields.addAll(List.of("error", kind.wireName())));
        ErrorKind.Severity severity = summary.error().map(ErrorKind::severity).orElse(ErrorKind.Severity.INFO);
        log.write(severity, "request_ended", fields);
    }

    private static String millis(long micros) {
        return Long.toString(micros < 0 ? -1 : micros / MICROS_PER_MILLI);
    }
}
