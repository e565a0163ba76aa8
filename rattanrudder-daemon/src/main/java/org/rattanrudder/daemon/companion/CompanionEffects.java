package org.rattanrudder.daemon.companion;

import java.util.function.Consumer;
import org.rattanrudder.core.companion.CompanionEffect;
import org.rattanrudder.core.companion.CompanionEvent;
import org.rattanrudder.core.log.AppendResult;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.daemon.logging.EventLog;
import org.rattanrudder.daemon.platform.LogAppender;

/** Carries out a companion's effects, on the handler thread; nothing here blocks. */
final class CompanionEffects implements Consumer<CompanionEffect> {
    private final EntryLinks links;
    private final TargetCalls calls;
    private final BlockCopier blocks;
    private final Orders orders;
    private final TargetWatches watches;
    private final LogAppender appender;
    private final Consumer<CompanionEvent> publish;
    private final EventLog log;
    private final Runnable drained;

    CompanionEffects(
            EntryLinks links,
            TargetCalls calls,
            BlockCopier blocks,
            Orders orders,
            TargetWatches watches,
            LogAppender appender,
            Consumer<CompanionEvent> publish,
            EventLog log,
            Runnable drained) {
        this.links = links;
        this.calls = calls;
        this.blocks = blocks;
        this.orders = orders;
        this.watches = watches;
        this.appender = appender;
        this.publish = publish;
        this.log = log;
        this.drained = drained;
    }

    @Override
    public void accept(CompanionEffect effect) {
        if (effect instanceof CompanionEffect.SendFrame sent) {
            links.send(sent.link(), sent.frame());
        } else if (effect instanceof CompanionEffect.ReadMore more) {
            calls.readMore(more.attempt(), more.chunks());
        } else if (effect instanceof CompanionEffect.StartPrompt start) {
            calls.start(start);
        } else if (effect instanceof CompanionEffect.StartCall start) {
            calls.start(start);
        } else if (effect instanceof CompanionEffect.CancelCall cancel) {
            calls.cancel(cancel.attempt());
        } else if (effect instanceof CompanionEffect.ResumePrompt resume) {
            calls.resume(resume);
        } else if (!acceptOfBlocks(effect)) {
            acceptRare(effect);
        }
    }

    private boolean acceptOfBlocks(CompanionEffect effect) {
        if (effect instanceof CompanionEffect.LookUpBlocks lookUp) {
            blocks.lookUp(lookUp);
        } else if (effect instanceof CompanionEffect.FetchBlock fetch) {
            blocks.fetch(fetch);
        } else if (effect instanceof CompanionEffect.ExportBlock export) {
            blocks.export(export);
        } else if (effect instanceof CompanionEffect.DropBlock drop) {
            blocks.drop(drop);
        } else {
            return false;
        }
        return true;
    }

    private void acceptRare(CompanionEffect effect) {
        if (effect instanceof CompanionEffect.CloseLink close) {
            links.close(close.link());
        } else if (effect instanceof CompanionEffect.SendOrder order) {
            orders.give(order);
        } else if (effect instanceof CompanionEffect.QueryLastOrder ask) {
            orders.askLast(ask);
        } else if (effect instanceof CompanionEffect.WatchTarget watch) {
            watches.watch(watch);
        } else if (effect instanceof CompanionEffect.UnwatchTarget unwatch) {
            watches.unwatch(unwatch.name());
        } else if (effect instanceof CompanionEffect.Append append) {
            appender.append(append.stream(), append.batch(), result -> settled(append, result));
        } else if (effect instanceof CompanionEffect.LogEvent note) {
            log.write(ErrorKind.Severity.INFO, note.event(), note.fields());
        } else if (effect instanceof CompanionEffect.Drained) {
            drained.run();
        } else {
            throw new IllegalStateException(
                    "no adapter for " + effect.getClass().getSimpleName());
        }
    }

    private void settled(CompanionEffect.Append append, AppendResult result) {
        publish.accept(
                new CompanionEvent.AppendSettled(append.stream(), append.batch().sequence(), result));
    }
}
