package frostrelay.node.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Set;

/**
 * Compatibility with the files of version 0.7.0 in the shared directory: an upgrade keeps the
 * administrators' state, and processes of both versions detect each other.
 */
class FormerVersionStateTest {
    private static final String RESOURCES = "version-0.7.0/";

    @TempDir Path folder;

    private Path copyResource(String name) throws Exception {
        Path copy = folder.resolve(name);
        try (InputStream resource =
                FormerVersionStateTest.class.getResourceAsStream(RESOURCES + name)) {
            Files.copy(resource, copy);
        }
        return copy;
    }

    @Test
    void adminDrainsOfTheFormerVersionAreReadAndChanged() throws Exception {
        copyResource("holds.json");
        AdminStateStore store = new AdminStateStore(folder, "holds");
        assertEquals(Set.of("s-1", "odd \"id\""), store.read());
        assertEquals(Set.of("odd \"id\""), store.change("s-1", false));
        assertEquals(
                "{\"holds\":[\"odd \\\"id\\\"\"]}", Files.readString(folder.resolve("holds.json")));
    }

    @Test
    void overridesOfTheFormerVersionAreReadAndCleared() throws Exception {
        copyResource("overrides.json");
        AdminStateStore store = new AdminStateStore(folder, "overrides");
        assertEquals(Set.of("keep-in", "follow:config:12"), store.read());
        assertEquals(Set.of(), store.change("", false));
        assertEquals("{\"overrides\":[]}", Files.readString(folder.resolve("overrides.json")));
    }

    @Test
    void snapshotContainsTheStateOfTheFormerVersion() throws Exception {
        copyResource("holds.json");
        copyResource("overrides.json");
        try (SharedDirectory sharedDirectory = new SharedDirectory(folder, "1")) {
            SharedDirectory.Snapshot snapshot = sharedDirectory.snapshot();
            assertEquals(Set.of("s-1", "odd \"id\""), snapshot.adminDrains());
            assertEquals(Set.of("keep-in", "follow:config:12"), snapshot.overrides());
        }
    }

    @Test
    void servingProcessOfTheFormerVersionIsCountedWithItsUsage() throws Exception {
        Path servingFile = copyResource("serving-41");
        assertEquals(
                new DescriptorUsage(70, 30),
                DescriptorUsage.decode(ByteBuffer.wrap(Files.readAllBytes(servingFile))));
        ProcessRegistry registry = new ProcessRegistry(folder, "1");
        try (FileChannel formerProcess = FileChannel.open(servingFile, StandardOpenOption.WRITE)) {
            formerProcess.lock();
            assertEquals(
                    new ProcessRegistry.PeerProcesses(1, new DescriptorUsage(70, 30)),
                    registry.servingPeers());
        }
        assertEquals(0, registry.servingPeers().count());
        assertFalse(Files.exists(servingFile), "an unlocked file belongs to a dead process");
    }
}
