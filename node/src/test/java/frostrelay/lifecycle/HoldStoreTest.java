package frostrelay.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;

/**
 * Holds outlast the process, reach the other one, and survive a file that is not what it should be.
 */
class HoldStoreTest {
    @TempDir Path folder;

    @Test
    void anotherProcessFindsWhatIsHeldAndChangesIt() throws Exception {
        HoldStore old = new HoldStore(folder, "holds");
        assertEquals(Set.of(), old.read());
        old.change("s-1", true);
        old.change("s-1", true);
        assertEquals(Set.of("s-1", "odd \"id\""), old.change("odd \"id\"", true));
        HoldStore fresh = new HoldStore(folder, "holds");
        assertEquals(Set.of("s-1", "odd \"id\""), fresh.read());
        assertEquals(Set.of("odd \"id\""), fresh.change("s-1", false));
        assertEquals(Set.of("odd \"id\""), old.read());
    }

    @Test
    void aTornOrForeignFileIsNoHarm() throws Exception {
        HoldStore store = new HoldStore(folder, "holds");
        store.change("s-1", true);
        for (String text :
                new String[] {
                    "", "{\"holds\":[\"s-", "[]", "{\"holds\":7}", "{\"holds\":[7]}", "null"
                }) {
            Files.writeString(folder.resolve("holds.json"), text);
            assertEquals(Set.of("s-1"), store.read(), text);
            assertEquals(Set.of(), new HoldStore(folder, "holds").read(), text);
        }
        assertEquals(Set.of("s-1", "s-2"), store.change("s-2", true));
        assertEquals(
                Set.of("s-1", "s-2"),
                new HoldStore(folder, "holds").read(),
                "replaced by the next change");
    }

    @Test
    void whatCannotBeKeptIsToldSo() {
        HoldStore store = new HoldStore(folder.resolve("missing"), "holds");
        assertThrows(IOException.class, () -> store.change("s-1", true));
    }
}
