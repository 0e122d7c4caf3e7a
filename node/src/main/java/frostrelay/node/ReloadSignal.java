package frostrelay.node;

import java.lang.reflect.Proxy;
import java.util.concurrent.CompletableFuture;

/**
 * Handles SIGHUP, which means that the configuration was replaced. Without a handler it ends the
 * JVM, so this is installed before anything else; signals received before a reload is possible are
 * queued until then.
 */
final class ReloadSignal {
    private final CompletableFuture<Runnable> reloadAction = new CompletableFuture<>();
    private boolean isIgnored;

    private ReloadSignal() {}

    /**
     * Installs the handler through {@code sun.misc.Signal} of module jdk.unsupported, the only API
     * for signals. Reflection is used because the compiler's warning about that API cannot be
     * suppressed otherwise.
     */
    static ReloadSignal install() throws ReflectiveOperationException {
        ReloadSignal reloadSignal = new ReloadSignal();
        Class<?> signalClass = Class.forName("sun.misc.Signal");
        Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
        Object handlerProxy =
                Proxy.newProxyInstance(
                        ReloadSignal.class.getClassLoader(),
                        new Class<?>[] {handlerClass},
                        (proxy, method, arguments) -> {
                            // Besides handle there are only Object's methods, which nobody calls.
                            reloadSignal.reloadAction.thenAccept(Runnable::run);
                            return null;
                        });
        Object previousHandler =
                signalClass
                        .getMethod("handle", signalClass, handlerClass)
                        .invoke(
                                null,
                                signalClass.getConstructor(String.class).newInstance("HUP"),
                                handlerProxy);
        // If the signal was ignored when the JVM started, the JVM silently leaves it ignored: only
        // the previous handler shows that.
        reloadSignal.isIgnored = previousHandler == handlerClass.getField("SIG_IGN").get(null);
        return reloadSignal;
    }

    /** Whether the signal will never arrive because the parent process set it to be ignored. */
    boolean isIgnored() {
        return isIgnored;
    }

    /**
     * Runs the action for each signal, on a thread of the JVM's signal handling, and at once for
     * signals received so far.
     */
    void setReloadAction(Runnable action) {
        reloadAction.complete(action);
    }
}
