package frostrelay.node.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.nio.file.Files;
import java.nio.file.Path;

/** Tests that processes of one balancer detect each other through their shared directory. */
class ProcessRegistryTest {
    @TempDir Path folder;

    @Test
    void onlyServingPeerProcessesAreCounted() throws Exception {
        ProcessRegistry oldProcess = new ProcessRegistry(folder, "1");
        try (ProcessRegistry newProcess = new ProcessRegistry(folder, "2")) {
            assertEquals(0, newProcess.servingPeers().count());
            oldProcess.announce();
            assertEquals(
                    new ProcessRegistry.PeerProcesses(1, new DescriptorUsage(0, 0)),
                    newProcess.servingPeers());
            oldProcess.publish(new DescriptorUsage(70, 30));
            assertEquals(
                    new ProcessRegistry.PeerProcesses(1, new DescriptorUsage(70, 30)),
                    newProcess.servingPeers());
            oldProcess.publish(new DescriptorUsage(7, 3));
            assertEquals(
                    new ProcessRegistry.PeerProcesses(1, new DescriptorUsage(7, 3)),
                    newProcess.servingPeers());
            assertEquals(
                    0,
                    oldProcess.servingPeers().count(),
                    "excludes the process itself and a process that has not announced itself");
            newProcess.announce();
            assertEquals(1, oldProcess.servingPeers().count());
            oldProcess.close();
            assertEquals(0, newProcess.servingPeers().count());
        }
    }

    @Test
    void filesOfDeadProcessesAreDeleted() throws Exception {
        Path leftoverFile = Files.createFile(folder.resolve("serving-99"));
        Files.createFile(folder.resolve("unrelated"));
        try (ProcessRegistry newProcess = new ProcessRegistry(folder, "2")) {
            assertEquals(0, newProcess.servingPeers().count());
            assertFalse(Files.exists(leftoverFile));
        }
    }

    @Test
    void missingDirectoryMeansNoPeers() throws Exception {
        try (ProcessRegistry loneProcess = new ProcessRegistry(folder.resolve("missing"), "1")) {
            loneProcess.announce();
            assertEquals(0, loneProcess.servingPeers().count());
        }
    }
}
