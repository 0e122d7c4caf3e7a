package frostrelay.testbed.fleet;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Processes that end with this one, also where it is ended by a signal: nobody else knows of them.
 */
public final class ChildProcesses {
    private static final Set<Process> RUNNING = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(() -> RUNNING.forEach(Process::destroyForcibly), "children"));
    }

    private ChildProcesses() {}

    /** Starts a process. */
    public static Process start(ProcessBuilder builder) throws IOException {
        Process process = builder.start();
        RUNNING.add(process);
        process.onExit().thenAccept(RUNNING::remove);
        return process;
    }
}
