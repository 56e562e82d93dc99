package org.radishpass.runtime.log;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.joran.spi.ConsoleTarget;
import ch.qos.logback.core.spi.ContextAwareBase;
import java.util.Objects;
import net.logstash.logback.encoder.LogstashEncoder;
import org.jspecify.annotations.Nullable;

/**
 * Configures Logback in code: events are written as JSON lines by a separate thread. A configuration file would do the
 * same, but parsing it takes a fifth of the processor time of a start.
 *
 * <p>Logging never blocks: if the reader of the lines is slow and the queue is full, lines are dropped.
 *
 * <p>Each setting is a system property or, where that is not set, an environment variable:
 *
 * <ul>
 *   <li>{@value #LEVEL_SETTING}: the lowest level that is written; the default is INFO.
 *   <li>{@value #TARGET_SETTING}: System.out or System.err; the default is System.err.
 *   <li>{@value #VM_SETTING}: the name of this VM, which is added to each line; none by default.
 * </ul>
 *
 * @since 0.2.0
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class JsonLogging extends ContextAwareBase implements Configurator {
    /** The name of the setting for the lowest level that is written. */
    public static final String LEVEL_SETTING = "RADISHPASS_LOG_LEVEL";

    /** The name of the setting for the output stream. */
    public static final String TARGET_SETTING = "RADISHPASS_LOG_TARGET";

    /** The name of the setting for the name of the VM, which each line then has in the field {@code vm}. */
    public static final String VM_SETTING = "RADISHPASS_LOG_VM";

    /** The names that need no escaping in JSON; other VM names are ignored. */
    private static final String JSON_SAFE_NAME = "[A-Za-z0-9._-]+";

    /** The capacity of the queue, in lines: some seconds of a router's peak output, in less than 2 MB. */
    private static final int QUEUE_LINES = 1_024;

    @Override
    public ExecutionStatus configure(LoggerContext loggerContext) {
        LogstashEncoder encoder = new LogstashEncoder();
        encoder.setContext(loggerContext);
        String vm = setting(VM_SETTING, "");
        if (vm.matches(JSON_SAFE_NAME)) {
            encoder.setCustomFields("{\"vm\":\"" + vm + "\"}");
        }
        encoder.setFindAndRegisterJacksonModules(false);
        encoder.start();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(loggerContext);
        console.setName("json");
        console.setTarget(setting(TARGET_SETTING, ConsoleTarget.SystemErr.getName()));
        console.setEncoder(encoder);
        console.start();
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(loggerContext);
        queue.setName("queue");
        queue.setQueueSize(QUEUE_LINES);
        queue.setNeverBlock(true);
        queue.addAppender(console);
        queue.start();
        loggerContext.getLogger("reactor.netty").setLevel(Level.ERROR);
        loggerContext.getLogger("io.netty").setLevel(Level.ERROR);
        Logger root = loggerContext.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(setting(LEVEL_SETTING, "INFO"), Level.INFO));
        root.addAppender(queue);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    private static String setting(String name, String defaultValue) {
        @Nullable String property = System.getProperty(name);
        @Nullable String variable = System.getenv(name);
        return Objects.requireNonNullElse(property == null ? variable : property, defaultValue);
    }
}
