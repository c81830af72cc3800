package org.mulleinshift.settings;

import java.util.Arrays;

/** What a service-level objective measures, as far as the scheduler acts on it. */
public enum ObjectiveKind {
  /** Time until a job of a class starts. */
  WAIT("wait"),
  /** Time until work within a team's guarantee starts. */
  GUARANTEE("guarantee"),
  /** Anything else; the scheduler does not act on it. */
  OTHER("");

  private final String setting;

  ObjectiveKind(String setting) {
    this.setting = setting;
  }

  /** The kind that a settings file names; names that this build doesn't know count as other. */
  public static ObjectiveKind fromSetting(String name) {
    return Arrays.stream(values())
        .filter(kind -> kind.setting.equals(name))
        .findFirst()
        .orElse(OTHER);
  }
}
