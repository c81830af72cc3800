package org.mulleinshift.settings;

import java.util.Arrays;

/** What a service-level objective measures. */
public enum ObjectiveKind {
  /** Time until a job of a class starts. */
  WAIT("wait"),
  /** Time until work within a team's guarantee starts. */
  GUARANTEE("guarantee"),
  /**
   * Any other kind; the scheduler uses only its {@link PlatformSettings.Objective#deadlineFactor}.
   */
  OTHER("");

  private final String setting;

  ObjectiveKind(String setting) {
    this.setting = setting;
  }

  /** Parses the kind's name in a settings file; unknown names yield {@link #OTHER}. */
  public static ObjectiveKind fromSetting(String name) {
    return Arrays.stream(values())
        .filter(kind -> kind.setting.equals(name))
        .findFirst()
        .orElse(OTHER);
  }
}
