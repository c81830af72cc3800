package org.mulleinshift;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import org.slf4j.Logger;

/**
 * Configures Logback to log to standard error. The environment variable {@code LOG_LEVEL} sets the
 * minimum level; it is INFO if the variable is unset or names no level.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {
  @Override
  public ExecutionStatus configure(LoggerContext context) {
    PatternLayoutEncoder encoder = new PatternLayoutEncoder();
    encoder.setContext(context);
    encoder.setPattern("%d{HH:mm:ss.SSS} %-5level %logger{0}: %msg%n");
    encoder.start();
    ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
    console.setContext(context);
    console.setTarget("System.err");
    console.setEncoder(encoder);
    console.start();
    ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.toLevel(System.getenv("LOG_LEVEL"), Level.INFO));
    root.addAppender(console);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }
}
