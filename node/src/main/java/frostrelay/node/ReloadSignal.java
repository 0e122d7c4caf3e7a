package frostrelay.node;

import java.lang.reflect.Proxy;
import java.util.concurrent.CompletableFuture;

/**
 * Handler for SIGHUP, which requests a reload of the configuration. Without a handler SIGHUP ends
 * the JVM, so this is installed before anything else; signals received before a reload is possible
 * are queued.
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
                            // The only other methods are those of Object, which are not called.
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
        // If the signal was ignored when the JVM started, the JVM silently leaves it ignored; only
        // the previous handler reveals this.
        reloadSignal.isIgnored = previousHandler == handlerClass.getField("SIG_IGN").get(null);
        return reloadSignal;
    }

    /** Returns whether the signal never arrives because the parent process made it ignored. */
    boolean isIgnored() {
        return isIgnored;
    }

    /**
     * Sets the action that runs for each signal on a signal handling thread of the JVM. For signals
     * received before this call it runs immediately.
     */
    void setReloadAction(Runnable action) {
        reloadAction.complete(action);
    }
}
