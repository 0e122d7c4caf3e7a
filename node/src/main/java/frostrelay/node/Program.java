package frostrelay.node;

import frostrelay.lifecycle.SharedFolder;
import frostrelay.log.Event;
import frostrelay.log.Log;
import frostrelay.log.LogSetup;
import frostrelay.policy.Router;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The real balancer's life: it reads its configuration, at a signal again, serves until SIGTERM and
 * ends with 0.
 */
public final class Program {
    /** Where the signal for a replaced configuration is ignored, the file is looked at so often. */
    private static final long LOOK = Clock.SECOND;

    /** A shutdown does not wait longer for its folder. */
    private static final long LOOK_LIMIT_MS = 100;

    /** Nobody takes longer than this between two pieces of a file that he writes. */
    private static final long BETWEEN_LOOKS = 300 * Clock.MILLISECOND;

    /** Where operators' own settings come from; read at the start and at each reload. */
    public interface Own {
        /**
         * What is set now; throws an exception whose message says what is wrong, and then nothing
         * changes.
         */
        Options read();
    }

    private final ConfigFile file;
    private final Own own;
    private final Node node;
    private final EventLoop loop;
    private final SharedFolder folder;

    private Program(ConfigFile file, Own own, Node node, EventLoop loop, SharedFolder folder) {
        this.file = file;
        this.own = own;
        this.node = node;
        this.loop = loop;
        this.folder = folder;
    }

    /**
     * Starts to serve and returns; the process ends with 1 if that fails. {@code path}: of the
     * configuration.
     */
    public static void start(String path, Own own) {
        start(path, own, Seams.NONE);
    }

    /** Likewise with what a test build puts in between. */
    public static void start(String path, Own own, Seams seams) {
        try {
            Hangup hangup = Hangup.install();
            Options options = own.read();
            ConfigFile file = new ConfigFile(path);
            Config config = Config.read(file);
            LogSetup.apply(options.logFormat(), options.logLevel(), config.name());
            EventLoop loop = new NioEventLoopGroup(1, new DefaultThreadFactory("loop")).next();
            SharedFolder folder =
                    new SharedFolder(temporary(), Long.toString(ProcessHandle.current().pid()));
            SharedFolder.Look shared = folder.look();
            Node node =
                    loop.submit(
                                    () ->
                                            new Node(
                                                    config,
                                                    loop,
                                                    Router::new,
                                                    folder,
                                                    shared,
                                                    options,
                                                    seams))
                            .get();
            Program program = new Program(file, own, node, loop, folder);
            // A JVM that SIGTERM ends exits with 143; halting at the end of its hook makes that 0.
            Runtime.getRuntime().addShutdownHook(new Thread(program::stop, "stop"));
            if (options.fleet().stragglers()) {
                ScheduledExecutorService reader =
                        Executors.newSingleThreadScheduledExecutor(
                                new DefaultThreadFactory("reread", true));
                loop.submit(() -> node.onReread(() -> program.reread(reader))).get();
            }
            loop.submit(node::start).get().sync();
            hangup.serve(program::reload);
            program.watch(hangup.isIgnored(), options.look());
            Log.write(Event.SERVES, config.listen(), config.console());
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

    /**
     * Looks at the file now and then where operators want that, or where no signal would be heard.
     */
    private void watch(boolean ignored, long wanted) {
        long look = wanted > 0 ? wanted : LOOK;
        if (ignored) {
            Log.write(Event.SIGNAL_IGNORED, "HUP", look / Clock.MILLISECOND);
        }
        if (ignored || wanted > 0) {
            ScheduledExecutorService thread =
                    Executors.newSingleThreadScheduledExecutor(
                            new DefaultThreadFactory("config", true));
            thread.scheduleWithFixedDelay(
                    () -> {
                        if (file.changed()) {
                            reload();
                        }
                    },
                    look,
                    look,
                    TimeUnit.NANOSECONDS);
        }
    }

    /**
     * Takes what the file holds where that is something else: a change counts once two looks have
     * found the file the same.
     */
    private void reread(ScheduledExecutorService reader) {
        reader.execute(file::changed);
        reader.schedule(
                () -> {
                    if (file.changed()) {
                        reload();
                    }
                },
                BETWEEN_LOOKS,
                TimeUnit.NANOSECONDS);
    }

    /** Reads on the caller's thread. One at a time, so that what was read last is taken last. */
    private synchronized void reload() {
        try {
            Map<?, ?> json = file.load();
            Options options = own.read();
            loop.execute(
                    () -> {
                        if (node.reload(json)) {
                            LogSetup.apply(options.logFormat(), options.logLevel(), node.name());
                            node.countEvery(options.counts());
                        }
                    });
        } catch (RuntimeException e) {
            Log.write(Event.SETTINGS_REFUSED, e.getMessage());
            loop.execute(() -> node.refuse(e.getMessage()));
        }
    }

    /** The folder that all processes of this balancer share, and no other balancer. */
    private static Path temporary() {
        String named = System.getenv("TMPDIR");
        return Path.of(
                named == null || named.isEmpty() ? System.getProperty("java.io.tmpdir") : named);
    }

    private void stop() {
        long signalledAt = Clock.now();
        try {
            boolean replaced = folder.othersServe(LOOK_LIMIT_MS);
            loop.submit(() -> node.stop(replaced, signalledAt)).get().await();
            folder.close();
        } catch (Exception e) {
            Log.write(Event.STOPPED_SHORT, e.toString());
        }
        Runtime.getRuntime().halt(0);
    }
}
