package frostrelay.node;

import java.lang.reflect.Proxy;
import java.util.concurrent.CompletableFuture;

/**
 * SIGHUP, which means that the configuration was replaced. Without a handler it ends the JVM, so
 * this is installed before anything else; signals that come before there is anything to reload are
 * kept until then.
 */
final class ReloadSignal {
    private final CompletableFuture<Runnable> reloadAction = new CompletableFuture<>();
    private boolean isIgnored;

    private ReloadSignal() {}

    /**
     * Signals are heard through {@code sun.misc.Signal} alone, the API of module jdk.unsupported.
     * It is reached by reflection, as the compiler's warning of it can be silenced by nothing else.
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
                            // Its other methods are those of Object, which nobody calls.
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
        // Started where the signal is ignored, the JVM leaves it so and says nothing: only the old
        // handler shows it.
        reloadSignal.isIgnored = previousHandler == handlerClass.getField("SIG_IGN").get(null);
        return reloadSignal;
    }

    /** Whether the signal will never come, as whoever started this program ignores it. */
    boolean isIgnored() {
        return isIgnored;
    }

    /**
     * From now on each signal is handed on, on a thread of the JVM's own: {@code action} passes it
     * to the loop.
     */
    void setReloadAction(Runnable action) {
        reloadAction.complete(action);
    }
}
