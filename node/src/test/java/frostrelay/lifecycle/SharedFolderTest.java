package frostrelay.lifecycle;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A shutdown's time runs from its signal: it must not be spent on files. */
class SharedFolderTest {
    @TempDir private Path folder;

    @Test
    void aFolderThatDoesNotAnswerHoldsUpNoShutdown() throws Exception {
        CountDownLatch hung = new CountDownLatch(1);
        CountDownLatch busy = new CountDownLatch(1);
        try (SharedFolder shared = new SharedFolder(folder, "hung")) {
            shared.serve(
                    () -> {
                        busy.countDown();
                        awaitQuietly(hung);
                        return Usage.NONE;
                    },
                    look -> {});
            assertTrue(busy.await(10, TimeUnit.SECONDS));
            long begun = System.nanoTime();
            assertFalse(shared.othersServe(100));
            assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun) < 600);
            hung.countDown();
        }
    }

    @Test
    void anotherProcessThatServesIsSeen() throws Exception {
        try (SharedFolder older = new SharedFolder(folder, "older");
                SharedFolder younger = new SharedFolder(folder, "younger")) {
            assertFalse(older.othersServe(5_000));
            CountDownLatch announced = new CountDownLatch(1);
            younger.serve(() -> Usage.NONE, look -> announced.countDown());
            assertTrue(announced.await(10, TimeUnit.SECONDS));
            assertTrue(older.othersServe(5_000));
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
