package org.mulleinshift.simulation;

/**
 * Where and when in a play the present log line arises: the host whose step runs on this thread,
 * and the virtual time. Log lines themselves carry only the time of the machine.
 */
public final class LogOrigin {
  private static final ThreadLocal<LogOrigin> CURRENT = ThreadLocal.withInitial(LogOrigin::new);

  private double seconds;
  private String host = "-";

  private LogOrigin() {}

  /** The origin of what this thread logs now. */
  public static LogOrigin current() {
    return CURRENT.get();
  }

  /** A step of the host begins at that time. */
  static void enter(String host, double seconds) {
    LogOrigin origin = CURRENT.get();
    origin.host = host;
    origin.seconds = seconds;
  }

  /** Virtual time and host, as a prefix of a line. */
  @Override
  public String toString() {
    return String.format("%.3f %s", seconds, host);
  }
}
