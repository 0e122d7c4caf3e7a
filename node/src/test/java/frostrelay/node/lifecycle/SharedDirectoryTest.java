package frostrelay.node.lifecycle;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Tests that slow file I/O does not delay a shutdown, whose time is counted from its signal. */
class SharedDirectoryTest {
    @TempDir private Path folder;

    @Test
    void unresponsiveDirectoryDoesNotDelayShutdown() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch announcing = new CountDownLatch(1);
        try (SharedDirectory sharedDirectory = new SharedDirectory(folder, "hung")) {
            sharedDirectory.announceAndPoll(
                    () -> {
                        announcing.countDown();
                        awaitQuietly(release);
                        return DescriptorUsage.NONE;
                    },
                    snapshot -> {});
            assertTrue(announcing.await(10, TimeUnit.SECONDS));
            long startNanos = System.nanoTime();
            assertFalse(sharedDirectory.hasServingPeers(100));
            assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) < 600);
            release.countDown();
        }
    }

    @Test
    void otherServingProcessIsDetected() throws Exception {
        try (SharedDirectory older = new SharedDirectory(folder, "older");
                SharedDirectory younger = new SharedDirectory(folder, "younger")) {
            assertFalse(older.hasServingPeers(5_000));
            CountDownLatch announced = new CountDownLatch(1);
            younger.announceAndPoll(() -> DescriptorUsage.NONE, snapshot -> announced.countDown());
            assertTrue(announced.await(10, TimeUnit.SECONDS));
            assertTrue(older.hasServingPeers(5_000));
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
