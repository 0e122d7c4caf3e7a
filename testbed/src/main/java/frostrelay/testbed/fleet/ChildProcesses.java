package frostrelay.testbed.fleet;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Child processes that are killed when this process exits, also after a signal, because nothing
 * else would stop them.
 */
public final class ChildProcesses {
    private static final Set<Process> RUNNING = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(() -> RUNNING.forEach(Process::destroyForcibly), "children"));
    }

    private ChildProcesses() {}

    /** Starts a process that is killed when this one exits. */
    public static Process start(ProcessBuilder builder) throws IOException {
        Process process = builder.start();
        RUNNING.add(process);
        process.onExit().thenAccept(RUNNING::remove);
        return process;
    }
}
