package eiderscale.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Processes of one balancer see each other through the folder that they share. */
class SiblingsTest {
    @TempDir
    Path folder;

    @Test
    void onlyOthersThatServeAreCounted() throws Exception {
        Siblings old = new Siblings(folder, "1");
        try (Siblings fresh = new Siblings(folder, "2")) {
            assertEquals(0, fresh.others());
            old.announce();
            assertEquals(1, fresh.others());
            assertEquals(0, old.others(), "not itself, and not one that only starts");
            fresh.announce();
            assertEquals(1, old.others());
            old.close();
            assertEquals(0, fresh.others());
        }
    }

    @Test
    void whatADeadProcessLeftIsClearedAway() throws Exception {
        Path left = Files.createFile(folder.resolve("serving-99"));
        Files.createFile(folder.resolve("else"));
        try (Siblings fresh = new Siblings(folder, "2")) {
            assertEquals(0, fresh.others());
            assertFalse(Files.exists(left));
        }
    }

    @Test
    void withoutAFolderThereAreNoOthers() throws Exception {
        try (Siblings alone = new Siblings(folder.resolve("missing"), "1")) {
            alone.announce();
            assertEquals(0, alone.others());
        }
    }
}
