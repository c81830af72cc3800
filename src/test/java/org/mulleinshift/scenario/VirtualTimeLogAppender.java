package org.mulleinshift.scenario;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import org.mulleinshift.simulation.LogOrigin;
import org.slf4j.LoggerFactory;

/** Prints log lines with the virtual time and the simulated host that logged them. */
final class VirtualTimeLogAppender extends AppenderBase<ILoggingEvent> {
  /** Replaces all other log appenders of this process. */
  static void install() {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    VirtualTimeLogAppender appender = new VirtualTimeLogAppender();
    appender.setContext(context);
    appender.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.detachAndStopAllAppenders();
    root.addAppender(appender);
  }

  @Override
  protected void append(ILoggingEvent event) {
    String name = event.getLoggerName();
    String simpleName = name.substring(name.lastIndexOf('.') + 1);
    System.out.println(LogOrigin.current() + " " + simpleName + ": " + event.getFormattedMessage());
  }
}
