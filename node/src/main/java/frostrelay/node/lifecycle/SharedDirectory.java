package frostrelay.node.lifecycle;

import frostrelay.node.log.Event;
import frostrelay.node.log.Log;

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
public final class SharedDirectory implements AutoCloseable {
    /**
     * What a look showed: the ids held, what else operators decided, the further processes of this
     * balancer that serve now, and their use.
     */
    public record Snapshot(
            Set<String> adminDrains,
            Set<String> overrides,
            int peerProcessCount,
            DescriptorUsage peerUsage) {}

    /** Hears on the folder's thread what it shows; every look is told, changed or not. */
    public interface Listener {
        /** In the order of the looks and of the changes. */
        void onSnapshot(Snapshot snapshot);
    }

    /** Far below the time within which another process's hold must be heeded. */
    private static final long POLL_INTERVAL_MILLIS = 100;

    private static final long CLOSE_TIMEOUT_MILLIS = 500;

    private final ProcessRegistry processRegistry;
    private final AdminStateStore adminDrainStore;
    private final AdminStateStore overrideStore;
    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread fresh = new Thread(task, "folder");
                        fresh.setDaemon(true);
                        return fresh;
                    });

    /** {@code name} is this process's own among those that share the folder. */
    public SharedDirectory(Path directory, String name) {
        processRegistry = new ProcessRegistry(directory, name);
        adminDrainStore = new AdminStateStore(directory, "holds");
        overrideStore = new AdminStateStore(directory, "overrides");
    }

    /** What is there now; waits for it. */
    public Snapshot snapshot() throws Exception {
        return executor.submit((Callable<Snapshot>) this::read).get();
    }

    /**
     * Whether other processes of this balancer serve now; no, where the folder does not tell within
     * the limit.
     */
    public boolean hasServingPeers(long timeoutMillis)
            throws InterruptedException, ExecutionException {
        try {
            return executor.submit(processRegistry::servingPeers)
                            .get(timeoutMillis, TimeUnit.MILLISECONDS)
                            .count()
                    > 0;
        } catch (TimeoutException e) {
            Log.write(Event.SHARED_DIRECTORY_FAILED, "no answer within " + timeoutMillis + " ms");
            return false;
        }
    }

    private Snapshot read() {
        ProcessRegistry.PeerProcesses peers = processRegistry.servingPeers();
        return new Snapshot(
                adminDrainStore.read(), overrideStore.read(), peers.count(), peers.usage());
    }

    /**
     * Says that this process serves and what it uses, and looks from now on a few times a second.
     */
    public void announceAndPoll(Supplier<DescriptorUsage> usage, Listener listener) {
        executor.execute(processRegistry::announce);
        executor.scheduleWithFixedDelay(
                () -> publishAndRead(usage, listener),
                0,
                POLL_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void publishAndRead(Supplier<DescriptorUsage> usage, Listener listener) {
        try {
            processRegistry.publish(usage.get());
            listener.onSnapshot(read());
        } catch (IOException | RuntimeException e) {
            // An exception would end the looks for good.
            Log.write(Event.SHARED_DIRECTORY_FAILED, e.toString());
        }
    }

    /**
     * Holds an id or lets it go; {@code callback} hears on the folder's thread what is held then,
     * or why it failed.
     */
    public void setAdminDrain(
            String id, boolean isDrained, BiConsumer<Set<String>, Exception> callback) {
        change(adminDrainStore, id, isDrained, callback);
    }

    /**
     * Likewise for a decision in place of the program; an empty word with {@code isActive} false
     * ends all of them.
     */
    public void setOverride(
            String decision, boolean isActive, BiConsumer<Set<String>, Exception> callback) {
        change(overrideStore, decision, isActive, callback);
    }

    private void change(
            AdminStateStore store,
            String id,
            boolean isPresent,
            BiConsumer<Set<String>, Exception> callback) {
        executor.execute(
                () -> {
                    try {
                        callback.accept(store.change(id, isPresent), null);
                    } catch (IOException | RuntimeException e) {
                        callback.accept(null, e);
                    }
                });
    }

    @Override
    public void close() throws IOException {
        // Not shutdownNow: an interrupt would close the files that a look has open.
        executor.shutdown();
        try {
            executor.awaitTermination(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        processRegistry.close();
    }
}
