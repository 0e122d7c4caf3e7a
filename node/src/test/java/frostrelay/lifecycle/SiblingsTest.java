package frostrelay.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.nio.file.Files;
import java.nio.file.Path;

/** Processes of one balancer see each other through the folder that they share. */
class SiblingsTest {
    @TempDir Path folder;

    @Test
    void onlyOthersThatServeAreCounted() throws Exception {
        Siblings old = new Siblings(folder, "1");
        try (Siblings fresh = new Siblings(folder, "2")) {
            assertEquals(0, fresh.others().count());
            old.announce();
            assertEquals(new Siblings.Others(1, new Usage(0, 0)), fresh.others());
            old.tell(new Usage(70, 30));
            assertEquals(new Siblings.Others(1, new Usage(70, 30)), fresh.others());
            old.tell(new Usage(7, 3));
            assertEquals(new Siblings.Others(1, new Usage(7, 3)), fresh.others());
            assertEquals(0, old.others().count(), "not itself, and not one that only starts");
            fresh.announce();
            assertEquals(1, old.others().count());
            old.close();
            assertEquals(0, fresh.others().count());
        }
    }

    @Test
    void whatADeadProcessLeftIsClearedAway() throws Exception {
        Path left = Files.createFile(folder.resolve("serving-99"));
        Files.createFile(folder.resolve("else"));
        try (Siblings fresh = new Siblings(folder, "2")) {
            assertEquals(0, fresh.others().count());
            assertFalse(Files.exists(left));
        }
    }

    @Test
    void withoutAFolderThereAreNoOthers() throws Exception {
        try (Siblings alone = new Siblings(folder.resolve("missing"), "1")) {
            alone.announce();
            assertEquals(0, alone.others().count());
        }
    }
}
