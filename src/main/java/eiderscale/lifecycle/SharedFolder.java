package eiderscale.lifecycle;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * What the processes of one balancer share through {@code $TMPDIR} while an upgrade lasts. It is looked at on a
 * thread of its own: an event loop must not wait for files.
 */
public final class SharedFolder implements AutoCloseable {
    /** Hears on the folder's thread what it shows; every look is told, changed or not. */
    public interface Listener {
        /** {@code others}: further processes of this balancer that serve now. */
        void onLook(int others);
    }

    private static final Logger LOG = Logger.getLogger(SharedFolder.class.getName());
    private static final long LOOK_MS = 100;

    private final Siblings siblings;
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread fresh = new Thread(task, "folder");
        fresh.setDaemon(true);
        return fresh;
    });

    /** {@code name} is this process's own among those that share the folder. */
    public SharedFolder(Path folder, String name) {
        siblings = new Siblings(folder, name);
    }

    /** Says that this process serves, and looks from now on a few times a second. */
    public void serve(Listener listener) {
        thread.execute(siblings::announce);
        thread.scheduleWithFixedDelay(() -> look(listener), 0, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    private void look(Listener listener) {
        try {
            listener.onLook(siblings.others());
        } catch (RuntimeException e) {
            // An exception would end the looks for good.
            LOG.log(Level.WARNING, "a look at the shared folder failed", e);
        }
    }

    /** How many other processes of this balancer serve now; waits for files. */
    public int others() {
        return siblings.others();
    }

    @Override
    public void close() throws IOException {
        thread.shutdownNow();
        siblings.close();
    }
}
