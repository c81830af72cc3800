package org.mulleinshift.simulation;

/**
 * The origin of a log line in a simulation: the host whose step runs on this thread, and the
 * virtual time. The logging framework itself knows only the real time.
 */
public final class LogOrigin {
  private static final ThreadLocal<LogOrigin> CURRENT = ThreadLocal.withInitial(LogOrigin::new);

  private double seconds;
  private String host = "-";

  private LogOrigin() {}

  /** The origin of the log lines that the current thread writes. */
  public static LogOrigin current() {
    return CURRENT.get();
  }

  /** Records that a step of {@code host} starts on this thread at the given virtual time. */
  static void enter(String host, double seconds) {
    LogOrigin origin = CURRENT.get();
    origin.host = host;
    origin.seconds = seconds;
  }

  /** The virtual time in seconds and the host, to prefix a log line with. */
  @Override
  public String toString() {
    return String.format("%.3f %s", seconds, host);
  }
}
