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
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The state that the processes of one balancer share through {@code $TMPDIR}: the administrators'
 * drains and overrides and, during an upgrade, the serving processes. All file I/O runs on a
 * dedicated thread, since an event loop must not block; callbacks are invoked on that thread.
 */
public final class SharedDirectory implements AutoCloseable {
    /**
     * A snapshot of the shared state.
     *
     * @param adminDrains ids of the servers that administrators drained
     * @param overrides the administrators' override decisions
     * @param peerProcessCount number of other serving processes of this balancer
     * @param peerUsage total descriptor usage of those processes
     */
    public record Snapshot(
            Set<String> adminDrains,
            Set<String> overrides,
            int peerProcessCount,
            DescriptorUsage peerUsage) {}

    /** Receives the state after every poll, even if unchanged, on the directory's thread. */
    public interface Listener {
        /** Called in the order of the polls and of the changes. */
        void onSnapshot(Snapshot snapshot);
    }

    /** The outcome of a change to the administrators' state. */
    public sealed interface ChangeResult {
        /** The change was stored; {@code values} are all stored values after it. */
        record Saved(Set<String> values) implements ChangeResult {}

        /** The change could not be stored. */
        record Failed(Exception cause) implements ChangeResult {}
    }

    /** Much shorter than the time within which a drain set at another process must take effect. */
    private static final long POLL_INTERVAL_MILLIS = 100;

    private static final long CLOSE_TIMEOUT_MILLIS = 500;

    private final ProcessRegistry processRegistry;
    private final AdminStateStore adminDrainStore;
    private final AdminStateStore overrideStore;
    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "folder");
                        thread.setDaemon(true);
                        return thread;
                    });

    /** {@code name} identifies this process among those that share the directory. */
    public SharedDirectory(Path directory, String name) {
        processRegistry = new ProcessRegistry(directory, name);
        adminDrainStore = new AdminStateStore(directory, "holds");
        overrideStore = new AdminStateStore(directory, "overrides");
    }

    /** Reads the current state; blocks until it has been read. */
    public Snapshot snapshot() throws Exception {
        return executor.submit((Callable<Snapshot>) this::read).get();
    }

    /**
     * Returns whether other processes of this balancer are serving; false if the directory cannot
     * be read within the timeout.
     */
    public boolean hasServingPeers(long timeoutMillis)
            throws InterruptedException, ExecutionException {
        try {
            return executor.submit(processRegistry::servingPeers)
                            .get(timeoutMillis, TimeUnit.MILLISECONDS)
                            .count()
                    > 0;
        } catch (TimeoutException e) {
            Log.write(
                    Event.SHARED_DIRECTORY_FAILED,
                    "reading took longer than " + timeoutMillis + " ms");
            return false;
        }
    }

    private Snapshot read() {
        ProcessRegistry.PeerProcesses peers = processRegistry.servingPeers();
        return new Snapshot(
                adminDrainStore.read(), overrideStore.read(), peers.count(), peers.usage());
    }

    /**
     * Registers this process as serving, then publishes its usage and polls the state periodically
     * until {@link #close}.
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
            // An exception would cancel the periodic task.
            Log.write(Event.SHARED_DIRECTORY_FAILED, e.toString());
        }
    }

    /**
     * Drains a server or ends its drain; {@code callback} receives the outcome on the directory's
     * thread.
     */
    public void setAdminDrain(String id, boolean isDrained, Consumer<ChangeResult> callback) {
        change(adminDrainStore, id, isDrained, callback);
    }

    /**
     * Sets or clears an override decision; an empty decision with {@code isActive} false clears all
     * of them. {@code callback} receives the outcome on the directory's thread.
     */
    public void setOverride(String decision, boolean isActive, Consumer<ChangeResult> callback) {
        change(overrideStore, decision, isActive, callback);
    }

    private void change(
            AdminStateStore store,
            String value,
            boolean isPresent,
            Consumer<ChangeResult> callback) {
        executor.execute(() -> callback.accept(changeNow(store, value, isPresent)));
    }

    private static ChangeResult changeNow(AdminStateStore store, String value, boolean isPresent) {
        try {
            return new ChangeResult.Saved(store.change(value, isPresent));
        } catch (IOException | RuntimeException e) {
            return new ChangeResult.Failed(e);
        }
    }

    @Override
    public void close() throws IOException {
        // shutdownNow is not used, as its interrupt would close files that a poll has open.
        executor.shutdown();
        try {
            executor.awaitTermination(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        processRegistry.close();
    }
}
