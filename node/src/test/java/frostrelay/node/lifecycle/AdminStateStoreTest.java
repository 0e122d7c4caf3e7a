package frostrelay.node.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;

/**
 * Tests that the administrators' state persists, is visible to other processes, and is kept if the
 * file is corrupt or foreign.
 */
class AdminStateStoreTest {
    @TempDir Path folder;

    @Test
    void adminDrainsAreSharedWithOtherProcesses() throws Exception {
        AdminStateStore oldStore = new AdminStateStore(folder, "holds");
        assertEquals(Set.of(), oldStore.read());
        oldStore.change("s-1", true);
        oldStore.change("s-1", true);
        assertEquals(Set.of("s-1", "odd \"id\""), oldStore.change("odd \"id\"", true));
        AdminStateStore newStore = new AdminStateStore(folder, "holds");
        assertEquals(Set.of("s-1", "odd \"id\""), newStore.read());
        assertEquals(Set.of("odd \"id\""), newStore.change("s-1", false));
        assertEquals(Set.of("odd \"id\""), oldStore.read());
    }

    @Test
    void lastKnownValuesAreUsedIfFileIsCorruptOrForeign() throws Exception {
        AdminStateStore store = new AdminStateStore(folder, "holds");
        store.change("s-1", true);
        for (String text :
                new String[] {
                    "", "{\"holds\":[\"s-", "[]", "{\"holds\":7}", "{\"holds\":[7]}", "null"
                }) {
            Files.writeString(folder.resolve("holds.json"), text);
            assertEquals(Set.of("s-1"), store.read(), text);
            assertEquals(Set.of(), new AdminStateStore(folder, "holds").read(), text);
        }
        assertEquals(Set.of("s-1", "s-2"), store.change("s-2", true));
        assertEquals(
                Set.of("s-1", "s-2"),
                new AdminStateStore(folder, "holds").read(),
                "the next change replaces the corrupt file");
    }

    @Test
    void failedWriteThrows() {
        AdminStateStore store = new AdminStateStore(folder.resolve("missing"), "holds");
        assertThrows(IOException.class, () -> store.change("s-1", true));
    }
}
