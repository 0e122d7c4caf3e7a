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
 * The administrators' state outlasts the process, is visible to other processes, and survives a
 * corrupt or foreign file.
 */
class AdminStateStoreTest {
    @TempDir Path folder;

    @Test
    void anotherProcessReadsAndChangesTheAdminDrains() throws Exception {
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
    void aTornOrForeignFileIsNoHarm() throws Exception {
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
                "replaced by the next change");
    }

    @Test
    void aFailedWriteIsReported() {
        AdminStateStore store = new AdminStateStore(folder.resolve("missing"), "holds");
        assertThrows(IOException.class, () -> store.change("s-1", true));
    }
}
