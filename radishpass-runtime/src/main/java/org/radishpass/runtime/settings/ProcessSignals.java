package org.radishpass.runtime.settings;

import java.lang.reflect.Proxy;

/**
 * Installs handlers for the signals to stop a process and to reload its settings. Without a handler, the JVM exits on
 * both.
 *
 * <p>The JDK's only API for this, {@code sun.misc.Signal}, is called by reflection: the compiler's warning about direct
 * use cannot be suppressed, and warnings fail the build.
 *
 * @since 0.2.0
 */
public final class ProcessSignals {
    private static final String SIGNAL = "sun.misc.Signal";
    private static final String HANDLER = "sun.misc.SignalHandler";

    private ProcessSignals() {
        // static methods only
    }

    /**
     * Installs a handler for the signal to stop (SIGTERM).
     *
     * @param task the handler, which runs on a separate thread
     */
    public static void onTerminate(Runnable task) {
        handle("TERM", task);
    }

    /**
     * Installs a handler for the signal to reload the settings (SIGHUP).
     *
     * @param task the handler, which runs on a separate thread
     */
    public static void onHangup(Runnable task) {
        handle("HUP", task);
    }

    private static void handle(String name, Runnable task) {
        try {
            Class<?> signal = Class.forName(SIGNAL);
            Class<?> handler = Class.forName(HANDLER);
            Object proxy = Proxy.newProxyInstance(
                    ProcessSignals.class.getClassLoader(), new Class<?>[] {handler}, (self, method, arguments) -> {
                        if (!method.getName().equals("handle")) {
                            throw new UnsupportedOperationException(method.getName());
                        }
                        task.run();
                        return null;
                    });
            Object instance = signal.getConstructor(String.class).newInstance(name);
            signal.getMethod("handle", signal, handler).invoke(null, instance, proxy);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot install a handler for the signal " + name + " on this JDK", e);
        }
    }
}
