package frostrelay.lifecycle;

import frostrelay.log.Event;
import frostrelay.log.Log;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * What the processes of one balancer share through {@code $TMPDIR}: the operators' holds, and while
 * an upgrade lasts, that there are two of them. It is looked at on a thread of its own: an event
 * loop must not wait for files.
 */
public final class SharedFolder implements AutoCloseable {
    /**
     * What a look showed: the ids held, what else operators decided, the further processes of this
     * balancer that serve now, and their use.
     */
    public record Look(Set<String> holds, Set<String> overrides, int others, Usage usage) {}

    /** Hears on the folder's thread what it shows; every look is told, changed or not. */
    public interface Listener {
        /** In the order of the looks and of the changes. */
        void onLook(Look look);
    }

    /** Far below the time within which another process's hold must be heeded. */
    private static final long LOOK_MS = 100;

    private static final long CLOSE_MS = 500;

    private final Siblings siblings;
    private final HoldStore holds;
    private final HoldStore overrides;
    private final ScheduledExecutorService thread =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread fresh = new Thread(task, "folder");
                        fresh.setDaemon(true);
                        return fresh;
                    });

    /** {@code name} is this process's own among those that share the folder. */
    public SharedFolder(Path folder, String name) {
        siblings = new Siblings(folder, name);
        holds = new HoldStore(folder, "holds");
        overrides = new HoldStore(folder, "overrides");
    }

    /** What is there now; waits for it. */
    public Look look() throws Exception {
        return thread.submit((Callable<Look>) this::read).get();
    }

    /**
     * Whether other processes of this balancer serve now; no, where the folder does not tell within
     * the limit.
     */
    public boolean othersServe(long limitMs) throws InterruptedException, ExecutionException {
        try {
            return thread.submit(siblings::others).get(limitMs, TimeUnit.MILLISECONDS).count() > 0;
        } catch (TimeoutException e) {
            Log.write(Event.FOLDER_FAILED, "no answer within " + limitMs + " ms");
            return false;
        }
    }

    private Look read() {
        Siblings.Others others = siblings.others();
        return new Look(holds.read(), overrides.read(), others.count(), others.usage());
    }

    /**
     * Says that this process serves and what it uses, and looks from now on a few times a second.
     */
    public void serve(Supplier<Usage> usage, Listener listener) {
        thread.execute(siblings::announce);
        thread.scheduleWithFixedDelay(
                () -> exchange(usage, listener), 0, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    private void exchange(Supplier<Usage> usage, Listener listener) {
        try {
            siblings.tell(usage.get());
            listener.onLook(read());
        } catch (IOException | RuntimeException e) {
            // An exception would end the looks for good.
            Log.write(Event.FOLDER_FAILED, e.toString());
        }
    }

    /**
     * Holds an id or lets it go; {@code done} hears on the folder's thread what is held then, or
     * why it failed.
     */
    public void hold(String id, boolean out, BiConsumer<Set<String>, Exception> done) {
        change(holds, id, out, done);
    }

    /**
     * Likewise for a decision in place of the program; an empty word with {@code on} false ends all
     * of them.
     */
    public void override(String word, boolean on, BiConsumer<Set<String>, Exception> done) {
        change(overrides, word, on, done);
    }

    private void change(
            HoldStore store, String id, boolean on, BiConsumer<Set<String>, Exception> done) {
        thread.execute(
                () -> {
                    try {
                        done.accept(store.change(id, on), null);
                    } catch (IOException | RuntimeException e) {
                        done.accept(null, e);
                    }
                });
    }

    @Override
    public void close() throws IOException {
        // Not shutdownNow: an interrupt would close the files that a look has open.
        thread.shutdown();
        try {
            thread.awaitTermination(CLOSE_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        siblings.close();
    }
}
