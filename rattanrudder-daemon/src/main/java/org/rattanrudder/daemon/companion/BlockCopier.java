package org.rattanrudder.daemon.companion;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.rattanrudder.core.companion.CompanionEffect;
import org.rattanrudder.core.companion.CompanionEvent;
import org.rattanrudder.core.companion.CompanionEvent.MoveOutcome;
import org.rattanrudder.core.companion.CompanionEvent.StoredBlock;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.wire.http.HttpCaller;
import org.rattanrudder.wire.http.HttpRequest;
import org.rattanrudder.wire.http.HttpResult;

/** Moves cache blocks between engines and stores, and lets none through whose content isn't proved. */
final class BlockCopier {
    private static final int CONFLICT = 409;
    private static final int INSUFFICIENT_STORAGE = 507;
    private static final String DIGEST_PREFIX = "sha-256=";

    private final HttpCaller caller;
    private final Consumer<CompanionEvent> publish;

    BlockCopier(HttpCaller caller, Consumer<CompanionEvent> publish) {
        this.caller = caller;
        this.publish = publish;
    }

    void lookUp(CompanionEffect.LookUpBlocks lookUp) {
        new StoreClient(caller, lookUp.store()).lookUp(lookUp.blocks()).thenAccept(found -> {
            List<StoredBlock> blocks = found.orElse(List.of());
            publish.accept(new CompanionEvent.BlockLookupEnded(lookUp.lookup(), blocks, found.isPresent()));
        });
    }

    void drop(CompanionEffect.DropBlock drop) {
        new StoreClient(caller, drop.store()).drop(drop.block());
    }

    void fetch(CompanionEffect.FetchBlock fetch) {
        StoreClient store = new StoreClient(caller, fetch.store());
        store.read(fetch.block().block())
                .thenCompose(read -> checked(store, fetch, read))
                .thenAccept(moved -> ended(fetch.move(), moved));
    }

    void export(CompanionEffect.ExportBlock export) {
        StoreClient store = new StoreClient(caller, export.store());
        caller.fetch(
                        export.target(),
                        HttpRequest.get("/cache/blocks/" + export.block().toHex()),
                        StoreClient.LARGEST_BLOCK_BYTES)
                .thenCompose(read -> exported(store, export, read))
                .thenAccept(moved -> ended(export.move(), moved));
    }

    private void ended(long move, Moved moved) {
        publish.accept(new CompanionEvent.MoveEnded(move, moved.outcome(), moved.bytes()));
    }

    /**
     * A store may free a block and give its slot to another while it is read; what arrives then is a mix of both. It
     * shows in the generation, which is compared before the first byte and after the last, and in the digest; only what
     * passes all three is shown to the engine.
     */
    private CompletableFuture<Moved> checked(StoreClient store, CompanionEffect.FetchBlock fetch, HttpResult read) {
        if (!(read instanceof HttpResult.Answered answered)) {
            return done(MoveOutcome.UNREACHABLE, 0);
        }
        long bytes = answered.body().length;
        if (!answered.isSuccess() || !isAsDescribed(fetch.block(), answered)) {
            return done(MoveOutcome.GONE, bytes);
        }
        if (bytes != fetch.block().bytes()
                || !Digest.of(answered.body()).equals(fetch.block().content())) {
            return done(MoveOutcome.CORRUPT, bytes);
        }
        return store.readHead(fetch.block().block()).thenCompose(after -> {
            if (!(after instanceof HttpResult.Answered head)) {
                return done(MoveOutcome.UNREACHABLE, bytes);
            }
            if (!head.isSuccess() || !isAsDescribed(fetch.block(), head)) {
                return done(MoveOutcome.GONE, bytes);
            }
            return imported(fetch.target(), fetch, answered.body());
        });
    }

    private static boolean isAsDescribed(StoredBlock block, HttpResult.Answered answered) {
        return answered.header("Committed").filter("true"::equals).isPresent()
                && answered.header("Generation")
                        .filter(Long.toString(block.generation())::equals)
                        .isPresent()
                && answered.header("Store-Incarnation")
                        .filter(Long.toString(block.incarnation())::equals)
                        .isPresent();
    }

    private CompletableFuture<Moved> imported(Address target, CompanionEffect.FetchBlock fetch, byte[] content) {
        HttpRequest bare = HttpRequest.of(
                        "PUT", "/cache/blocks/" + fetch.block().block().toHex())
                .with("Weight-Version", fetch.weightVersion())
                .with("Parent", fetch.parent().toHex());
        HttpRequest request =
                new HttpRequest(bare.method(), bare.path(), bare.headers(), content, false, bare.timeouts());
        return caller.fetch(target, request).thenApply(result -> new Moved(written(result), content.length));
    }

    private CompletableFuture<Moved> exported(StoreClient store, CompanionEffect.ExportBlock export, HttpResult read) {
        if (!(read instanceof HttpResult.Answered answered)) {
            return done(MoveOutcome.UNREACHABLE, 0);
        }
        boolean isOfVersion = answered.header("Weight-Version")
                .filter(export.weightVersion()::equals)
                .isPresent();
        if (!answered.isSuccess() || !isOfVersion) {
            return done(MoveOutcome.GONE, 0);
        }
        Digest content = Digest.of(answered.body());
        boolean isWhole = answered.header("Content-Digest")
                .filter((DIGEST_PREFIX + content.toHex())::equals)
                .isPresent();
        return isWhole
                ? stored(store, export.block(), answered.body(), content)
                : done(MoveOutcome.CORRUPT, answered.body().length);
    }

    /** A block is written in three steps, the commit last: a writer that dies on the way leaves nothing readable. */
    private static CompletableFuture<Moved> stored(StoreClient store, Digest block, byte[] bytes, Digest content) {
        return store.begin(block, bytes.length).thenCompose(begun -> {
            MoveOutcome outcome = written(begun);
            if (outcome != MoveOutcome.DONE) {
                return done(outcome, 0);
            }
            return StoreClient.generationOf((HttpResult.Answered) begun)
                    .map(generation -> committed(store, block, generation, bytes, content))
                    .orElseGet(() -> done(MoveOutcome.UNREACHABLE, 0));
        });
    }

    private static CompletableFuture<Moved> committed(
            StoreClient store, Digest block, long generation, byte[] bytes, Digest content) {
        return store.write(block, generation, bytes).thenCompose(sent -> {
            MoveOutcome outcome = written(sent);
            if (outcome != MoveOutcome.DONE) {
                return done(outcome, bytes.length);
            }
            return store.commit(block, generation, bytes.length, content)
                    .thenApply(result -> new Moved(written(result), bytes.length));
        });
    }

    private static MoveOutcome written(HttpResult result) {
        if (!(result instanceof HttpResult.Answered answered)) {
            return MoveOutcome.UNREACHABLE;
        }
        if (answered.isSuccess()) {
            return MoveOutcome.DONE;
        }
        return switch (answered.status()) {
            case INSUFFICIENT_STORAGE -> MoveOutcome.FULL;
            case CONFLICT -> MoveOutcome.GONE;
            default -> MoveOutcome.UNREACHABLE;
        };
    }

    private static CompletableFuture<Moved> done(MoveOutcome outcome, long bytes) {
        return CompletableFuture.completedFuture(new Moved(outcome, bytes));
    }

    private record Moved(MoveOutcome outcome, long bytes) {}
}
