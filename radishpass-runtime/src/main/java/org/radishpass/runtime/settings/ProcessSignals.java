package org.radishpass.runtime.settings;

import java.lang.reflect.Proxy;

/**
 * Handles the signals by which a process is told to stop and to read its settings anew. Without a handler the JVM ends on
 * both.
 *
 * <p>The JDK's only interface for this, {@code sun.misc.Signal}, is reached by reflection: the compiler's warning on it
 * cannot be switched off, and warnings end the build.
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
     * Handles the signal to stop (SIGTERM).
     *
     * @param task is run on a thread of its own
     */
    public static void onTerminate(Runnable task) {
        handle("TERM", task);
    }

    /**
     * Handles the signal to read the settings anew (SIGHUP).
     *
     * @param task is run on a thread of its own
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
            throw new IllegalStateException("the signal " + name + " cannot be handled on this JDK", e);
        }
    }
}
