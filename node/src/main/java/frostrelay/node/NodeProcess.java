package frostrelay.node;

import frostrelay.node.cluster.TestHooks;
import frostrelay.node.config.Config;
import frostrelay.node.config.ConfigException;
import frostrelay.node.config.ConfigFile;
import frostrelay.node.lifecycle.SharedDirectory;
import frostrelay.node.log.Event;
import frostrelay.node.log.Log;
import frostrelay.node.log.LogSetup;
import frostrelay.node.time.Clock;
import frostrelay.policy.Router;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The balancer as a process: reads its configuration, reloads it on SIGHUP, serves until SIGTERM
 * and exits with 0, or with 1 if it cannot start. Ends the JVM in both cases.
 */
public final class NodeProcess {
    /** How often the configuration file is polled where SIGHUP is ignored. */
    private static final long DEFAULT_POLL_INTERVAL_NANOS = Clock.NANOS_PER_SECOND;

    /** How long a shutdown waits for the shared directory. */
    private static final long SHARED_DIRECTORY_TIMEOUT_MILLIS = 100;

    /** A file that is unchanged for this time is assumed to be completely written. */
    private static final long STABLE_FILE_DELAY_NANOS = 300 * Clock.NANOS_PER_MILLISECOND;

    /** The source of the operators' own options; read at the start and at each reload. */
    public interface OptionsSource {
        /**
         * Reads the current options. If this throws a RuntimeException during a reload, the current
         * configuration and options stay in effect and the exception's message is logged.
         */
        Options read();
    }

    private final ConfigFile configFile;
    private final OptionsSource optionsSource;
    private final Node node;
    private final EventLoop loop;
    private final SharedDirectory sharedDirectory;

    private NodeProcess(
            ConfigFile configFile,
            OptionsSource optionsSource,
            Node node,
            EventLoop loop,
            SharedDirectory sharedDirectory) {
        this.configFile = configFile;
        this.optionsSource = optionsSource;
        this.node = node;
        this.loop = loop;
        this.sharedDirectory = sharedDirectory;
    }

    /**
     * Starts to serve and returns; the process exits with 1 if that fails.
     *
     * @param configPath path of the configuration file
     */
    public static void start(String configPath, OptionsSource optionsSource) {
        start(configPath, optionsSource, TestHooks.NONE);
    }

    /** Starts to serve like {@link #start(String, OptionsSource)}, with hooks for a test build. */
    public static void start(String configPath, OptionsSource optionsSource, TestHooks hooks) {
        try {
            ReloadSignal reloadSignal = ReloadSignal.install();
            Options options = optionsSource.read();
            ConfigFile configFile = new ConfigFile(configPath);
            Config config = Config.read(configFile);
            LogSetup.apply(options.logFormat(), options.logLevel(), config.name());
            EventLoop loop = new NioEventLoopGroup(1, new DefaultThreadFactory("loop")).next();
            SharedDirectory sharedDirectory =
                    new SharedDirectory(
                            temporaryDirectory(), Long.toString(ProcessHandle.current().pid()));
            SharedDirectory.Snapshot sharedState = sharedDirectory.snapshot();
            Node node =
                    loop.submit(
                                    () ->
                                            new Node(
                                                    config,
                                                    loop,
                                                    Router::new,
                                                    sharedDirectory,
                                                    sharedState,
                                                    options,
                                                    hooks))
                            .get();
            NodeProcess process =
                    new NodeProcess(configFile, optionsSource, node, loop, sharedDirectory);
            // A JVM ended by SIGTERM exits with 143; halting at the end of the hook makes that 0.
            Runtime.getRuntime().addShutdownHook(new Thread(process::stop, "stop"));
            if (options.cluster().stalenessDetection()) {
                ScheduledExecutorService rereadExecutor =
                        Executors.newSingleThreadScheduledExecutor(
                                new DefaultThreadFactory("reread", true));
                loop.submit(
                                () ->
                                        node.setRereadAction(
                                                () -> process.reloadOnceStable(rereadExecutor)))
                        .get();
            }
            loop.submit(node::start).get().sync();
            reloadSignal.setReloadAction(process::reload);
            process.watchConfigFile(reloadSignal.isIgnored(), options.configPollNanos());
            Log.write(Event.SERVING, config.listenAddress(), config.adminAddress());
        } catch (ConfigException e) {
            fail(e.getMessage());
        } catch (Exception e) {
            fail(e.toString());
        }
    }

    private static void fail(String reason) {
        Log.write(Event.CANNOT_START, reason);
        Runtime.getRuntime().halt(1);
    }

    /** Polls the configuration file if the options require it or SIGHUP is ignored. */
    private void watchConfigFile(boolean isSignalIgnored, long requestedIntervalNanos) {
        long intervalNanos =
                requestedIntervalNanos > 0 ? requestedIntervalNanos : DEFAULT_POLL_INTERVAL_NANOS;
        if (isSignalIgnored) {
            Log.write(Event.SIGNAL_IGNORED, "HUP", intervalNanos / Clock.NANOS_PER_MILLISECOND);
        }
        if (isSignalIgnored || requestedIntervalNanos > 0) {
            ScheduledExecutorService watchExecutor =
                    Executors.newSingleThreadScheduledExecutor(
                            new DefaultThreadFactory("config", true));
            watchExecutor.scheduleWithFixedDelay(
                    () -> {
                        if (configFile.hasChanged()) {
                            reload();
                        }
                    },
                    intervalNanos,
                    intervalNanos,
                    TimeUnit.NANOSECONDS);
        }
    }

    /**
     * Reloads the file if its content has changed and two consecutive checks find the same version.
     */
    private void reloadOnceStable(ScheduledExecutorService executor) {
        executor.execute(configFile::hasChanged);
        executor.schedule(
                () -> {
                    if (configFile.hasChanged()) {
                        reload();
                    }
                },
                STABLE_FILE_DELAY_NANOS,
                TimeUnit.NANOSECONDS);
    }

    /**
     * Reads the file on the caller's thread. Synchronized, so that the version read last is also
     * applied last.
     */
    private synchronized void reload() {
        try {
            Map<?, ?> json = configFile.load();
            Options options = optionsSource.read();
            loop.execute(
                    () -> {
                        if (node.reload(json)) {
                            LogSetup.apply(options.logFormat(), options.logLevel(), node.name());
                            node.setReportInterval(options.reportIntervalNanos());
                        }
                    });
        } catch (RuntimeException e) {
            Log.write(Event.SETTINGS_REJECTED, e.getMessage());
            loop.execute(() -> node.onUnreadableConfig(e.getMessage()));
        }
    }

    /** Returns the directory shared by exactly the processes of this balancer. */
    private static Path temporaryDirectory() {
        String configuredPath = System.getenv("TMPDIR");
        return Path.of(
                configuredPath == null || configuredPath.isEmpty()
                        ? System.getProperty("java.io.tmpdir")
                        : configuredPath);
    }

    /** Ends the registration of this process; a failure does not end what it still passes on. */
    private void closeSharedDirectory() {
        try {
            sharedDirectory.close();
        } catch (IOException e) {
            Log.write(Event.SHARED_DIRECTORY_FAILED, e.toString());
        }
    }

    private void stop() {
        long signalledAtNanos = Clock.now();
        try {
            boolean isReplaced = sharedDirectory.hasServingPeers(SHARED_DIRECTORY_TIMEOUT_MILLIS);
            ShutdownSequence shutdown =
                    loop.submit(() -> node.stop(isReplaced, signalledAtNanos)).get();
            shutdown.answered().await();
            closeSharedDirectory();
            shutdown.ended().await();
        } catch (Exception e) {
            Log.write(Event.SHUTDOWN_FAILED, e.toString());
        }
        Runtime.getRuntime().halt(0);
    }
}
